package membership

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/transport"
)

// pingMessage asks a member whether it is alive. It carries the state and the
// incarnation of the receiver as the sender knows them, so that a suspect can
// refute at once.
type pingMessage struct {
	From        string `cbor:"1,keyasint"`
	To          string `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

// pingReply carries the state and the incarnation of the pinging node as the
// replying node knows them, so that a node that was declared dead while it was
// paused can refute at once.
type pingReply struct {
	Instance    string `cbor:"1,keyasint"`
	State       State  `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

func (s *Service) handlePing(_ context.Context, _ transport.Peer, payload []byte) ([]byte, error) {
	var m pingMessage
	if err := decodeMode.Unmarshal(payload, &m); err != nil {
		return nil, eris.Wrap(err, "decode ping")
	}
	self := s.options.Self.Instance
	if m.To == self && m.State > Alive {
		s.queue.Put(SelfSuspected{Incarnation: m.Incarnation})
	}
	s.mu.Lock()
	state, incarnation := s.state.MemberState(m.From)
	s.mu.Unlock()
	reply, err := encodeMode.Marshal(pingReply{Instance: self, State: state, Incarnation: incarnation})
	return reply, eris.Wrap(err, "encode ping reply")
}

// ping sends a ping to m and queues the result as an event. A reply of another
// instance at the same address counts as a failure.
func (s *Service) ping(ctx context.Context, m Member) {
	reply, err := s.exchangePing(ctx, m)
	if ctx.Err() != nil {
		return
	}
	if err != nil || reply.Instance != m.Instance {
		s.queue.Put(PingFailed{Instance: m.Instance})
		return
	}
	s.queue.Put(PingAnswered{Instance: m.Instance})
	if reply.State > Alive {
		s.queue.Put(SelfSuspected{Incarnation: reply.Incarnation})
	}
}

func (s *Service) exchangePing(ctx context.Context, m Member) (reply pingReply, err error) {
	payload, err := encodeMode.Marshal(pingMessage{
		From: s.options.Self.Instance, To: m.Instance, State: m.State, Incarnation: m.Incarnation,
	})
	if err != nil {
		return reply, eris.Wrap(err, "encode ping")
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	data, err := s.options.Messenger.Request(ctx, m.Address, kindPing, payload)
	if err != nil {
		return reply, err
	}
	return reply, eris.Wrap(decodeMode.Unmarshal(data, &reply), "decode ping reply")
}
