package transport

import (
	"context"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// RemoteError is an error that the peer returned in its reply.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Request implements Requester. The context bounds the dial and the wait for the
// reply.
func (t *Transport) Request(ctx context.Context, address string, kind Kind, payload []byte) ([]byte, error) {
	data, err := t.codec.marshal(envelope{Kind: kind, Time: t.options.Clock.Now(), Payload: payload})
	if err != nil {
		return nil, err
	}
	c, quicStream, err := t.pools[controlTraffic].openStream(ctx, address)
	if err != nil {
		return nil, err
	}
	stream := &openedStream{Stream: quicStream, conn: c}
	stopWatching := context.AfterFunc(ctx, stream.Cancel)
	defer stopWatching()
	reply, err := t.exchange(stream, data)
	if err != nil {
		stream.Cancel()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, eris.Wrapf(err, "request of kind %#x to %s", kind, address)
	}
	if reply.Error != "" {
		return nil, &RemoteError{Message: reply.Error}
	}
	return reply.Payload, nil
}

func (t *Transport) exchange(stream *openedStream, data []byte) (envelope, error) {
	if _, err := stream.Write(data); err != nil {
		return envelope{}, eris.Wrap(err, "send")
	}
	if err := stream.CloseWrite(); err != nil {
		return envelope{}, eris.Wrap(err, "send")
	}
	t.stats.messagesSent.Add(1)
	reply, _, err := t.codec.readMessage(stream)
	if err == nil {
		t.options.Clock.Observe(reply.Time)
	}
	return reply, err
}

// serveMessage handles one control message and sends the reply.
func (c *conn) serveMessage(s *acceptedStream) {
	t := c.transport
	message, _, err := t.codec.readMessage(s)
	if err != nil {
		t.options.Logger.WithError(err).WithField("peer", c.peer.Instance).Debug("cannot read control message")
		s.CancelRead(quic.StreamErrorCode(codeProtocol))
		return
	}
	t.stats.messagesReceived.Add(1)
	t.options.Clock.Observe(message.Time)
	var reply envelope
	handler, ok := t.messageHandlers.Load(message.Kind)
	if !ok {
		reply.Error = "no handler for the message kind"
	} else if reply.Payload, err = handler.(MessageHandler)(s.Stream.Context(), c.peer, message.Payload); err != nil {
		reply = envelope{Error: err.Error()}
	}
	reply.Time = t.options.Clock.Now()
	data, err := t.codec.marshal(reply)
	if err != nil {
		t.options.Logger.WithError(err).WithField("kind", message.Kind).Error("cannot encode reply")
		return
	}
	if _, err := s.Write(data); err == nil {
		_ = s.CloseWrite()
	}
}
