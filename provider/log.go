// Package provider has typed clients for the services that the platform
// offers: the append-only log and the list of instances.
package provider

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	platformv1 "lycheecrank.example/api/platform/v1"
	"lycheecrank.example/api/platform/v1/platformv1connect"
)

// Sentinel errors of the platform's services.
var (
	// ErrUnavailable: the service did not answer. An append may have taken
	// effect all the same.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrExpired: records from the wanted offset on are no longer retained.
	ErrExpired = errors.New("log records expired")
	// ErrRateLimited: the service asks to come back later.
	ErrRateLimited = errors.New("platform service rate limited")
)

// Record is a record of a stream of the log.
type Record struct {
	// Offset starts at 1 and grows by one with each record of a stream.
	Offset     uint64    `msgpack:"offset"`
	Data       []byte    `msgpack:"data"`
	AppendedAt time.Time `msgpack:"appendedAt"`
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	// Earliest is the smallest retained offset.
	Earliest uint64
	// Next is the offset of the next append.
	Next uint64
}

// Log is a client of the log service. Concurrent calls are safe.
type Log struct {
	// Append adds records to a stream and returns the offset of the first. With
	// ErrUnavailable the records may have been added all the same.
	Append func(ctx context.Context, stream string, data ...[]byte) (uint64, error)
	// Read returns records from an offset on, ErrExpired if they are gone. Offset
	// 0 stands for the earliest one retained.
	Read func(ctx context.Context, stream string, from uint64) (Page, error)
	// Tail calls take for the records from an offset on as they arrive. It
	// returns when the context ends, when take fails, or with ErrUnavailable or
	// ErrExpired.
	Tail func(ctx context.Context, stream string, from uint64, take func([]Record) error) error
}

// NewLog returns a client for the log service at a base URL.
func NewLog(client *http.Client, baseURL string) *Log {
	c := logClient{platformv1connect.NewLogServiceClient(client, baseURL)}
	return &Log{Append: c.append, Read: c.read, Tail: c.tail}
}

type logClient struct {
	service platformv1connect.LogServiceClient
}

func (c logClient) append(ctx context.Context, stream string, data ...[]byte) (uint64, error) {
	res, err := c.service.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{Stream: stream, Data: data}))
	if err != nil {
		return 0, asPlatformError(err, "append to "+stream)
	}
	return res.Msg.GetFirstOffset(), nil
}

func (c logClient) read(ctx context.Context, stream string, from uint64) (Page, error) {
	res, err := c.service.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{Stream: stream, From: from}))
	if err != nil {
		return Page{}, asPlatformError(err, "read "+stream)
	}
	return Page{
		Records:  asRecords(res.Msg.GetRecords()),
		Earliest: res.Msg.GetEarliest(),
		Next:     res.Msg.GetNext(),
	}, nil
}

func (c logClient) tail(ctx context.Context, stream string, from uint64, take func([]Record) error) error {
	tail, err := c.service.Tail(ctx, connect.NewRequest(&platformv1.TailRequest{Stream: stream, From: from}))
	if err != nil {
		return asPlatformError(err, "tail "+stream)
	}
	defer func() { _ = tail.Close() }()
	for tail.Receive() {
		if err := take(asRecords(tail.Msg().GetRecords())); err != nil {
			return err
		}
	}
	if err := tail.Err(); err != nil {
		return asPlatformError(err, "tail "+stream)
	}
	return eris.Wrap(ErrUnavailable, "tail "+stream+" ended")
}

func asRecords(from []*platformv1.Record) []Record {
	records := make([]Record, 0, len(from))
	for _, r := range from {
		records = append(records, Record{
			Offset:     r.GetOffset(),
			Data:       r.GetData(),
			AppendedAt: time.UnixMilli(r.GetAppendedAtUnixMs()),
		})
	}
	return records
}

// asPlatformError maps the code of a connect error to a sentinel error.
func asPlatformError(err error, action string) error {
	switch connect.CodeOf(err) {
	case connect.CodeOutOfRange:
		return eris.Wrap(ErrExpired, action)
	case connect.CodeResourceExhausted:
		return eris.Wrap(ErrRateLimited, action)
	default:
		return eris.Wrapf(ErrUnavailable, "%s: %v", action, err)
	}
}
