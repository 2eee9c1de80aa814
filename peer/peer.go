// Package peer carries steps, digests and log records between instances, as
// msgpack messages in length-prefixed frames over TCP. All exchanges that one
// instance opens with another one share a single connection.
package peer
