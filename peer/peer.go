// Package peer carries steps, digests and log records between instances:
// msgpack messages in length-prefixed frames over TCP. Many exchanges share the
// connection that an instance dials to another one.
package peer
