// Package transport carries control messages and calls between nodes over QUIC
// with mutual TLS.
package transport

import (
	"context"
	"io"
	"time"
)

// Kind identifies a control message. Each package owns a range of 16.
type Kind uint16

// The first kind of each package's range.
const (
	KindGossip       Kind = 0x10
	KindMembership   Kind = 0x20
	KindDistribution Kind = 0x30
	KindMove         Kind = 0x40
	KindReport       Kind = 0x50
	KindIdempotency  Kind = 0x60
	KindTimeline     Kind = 0x70
)

// Limits of the protocol in bytes.
const (
	MaxMessageBytes    = 4 << 20
	MaxCallHeaderBytes = 64 << 10
	MaxCallFrameBytes  = 32 << 10
)

// Peer is the authenticated other end of a connection.
type Peer struct {
	// Instance is the name in the peer's certificate.
	Instance string
	// Address is the peer's remote IP and port.
	Address string
	// ProtocolVersion is the negotiated version of the node-to-node protocol.
	ProtocolVersion int
}

// MessageHandler handles control messages of one kind and returns the reply. The
// payload is CBOR. The text of an error is sent to the peer.
type MessageHandler func(ctx context.Context, from Peer, payload []byte) (reply []byte, err error)

// CallHandler serves one call stream and closes it.
type CallHandler func(ctx context.Context, from Peer, stream Stream)

// Stream is a bidirectional byte stream of one call.
type Stream interface {
	io.Reader
	io.Writer
	// CloseWrite closes the sending side after all written data.
	CloseWrite() error
	// Cancel aborts the directions that have not ended; the peer's reads and writes
	// fail. The opener of a stream must call it when it is done, also after success.
	Cancel()
	// SetDeadline sets the deadline of all reads and writes.
	SetDeadline(t time.Time) error
	// Context ends when the peer cancels the stream or the connection is lost.
	Context() context.Context
}

// Requester sends control messages.
type Requester interface {
	// Request sends payload to the node at address and waits for its reply. Errors
	// do not say whether the peer handled the message.
	Request(ctx context.Context, address string, kind Kind, payload []byte) (reply []byte, err error)
}

// CallOpener opens call streams.
type CallOpener interface {
	// OpenCall returns a stream on which no data has been sent. An error means that
	// nothing reached the peer.
	OpenCall(ctx context.Context, address string) (Stream, error)
}
