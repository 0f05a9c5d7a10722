package move

import (
	"bytes"
	"cmp"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// canonicalEncoding encodes equal states as equal bytes, so that copies on
// different nodes have equal digests.
var canonicalEncoding = func() cbor.EncMode {
	options := cbor.CanonicalEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the gossip payload of a state.
func Encode(s State) ([]byte, error) {
	payload, err := canonicalEncoding.Marshal(s)
	return payload, eris.Wrap(err, "encode move state")
}

// Decode returns the state in payload, or an error if it is malformed.
func Decode(payload []byte) (State, error) {
	var s State
	if err := cbor.Unmarshal(payload, &s); err != nil {
		return State{}, eris.Wrap(err, "decode move state")
	}
	if s.Service == "" || s.To == "" || s.Phase < PhaseRunning || s.Phase > PhaseRolledBack ||
		s.Share < 0 || s.Share > ShareDenominator {
		return State{}, eris.Errorf("move state of service %q to version %q is not valid", s.Service, s.To)
	}
	return s, nil
}

// CompareStates orders two states of the same move: PhaseRolledBack is above all
// other phases, then the higher fencing token, takeover count and sequence win.
// Merge breaks ties between different states by their bytes, so that all nodes
// choose the same one.
func CompareStates(a, b State) int {
	return cmp.Or(
		cmp.Compare(phaseRank(a), phaseRank(b)),
		cmp.Compare(a.FencingToken, b.FencingToken),
		cmp.Compare(a.TakeoverCount, b.TakeoverCount),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

func phaseRank(s State) int {
	if s.Phase == PhaseRolledBack {
		return 1
	}
	return 0
}

// Merge is the gossip.Merge of topic gossip.Moves. It picks the greater of two
// payloads in a total order.
func Merge(current, incoming []byte) ([]byte, error) {
	incomingState, err := Decode(incoming)
	if err != nil {
		return nil, err
	}
	if len(current) == 0 {
		return incoming, nil
	}
	currentState, err := Decode(current)
	if err != nil {
		return nil, err
	}
	if cmp.Or(CompareStates(currentState, incomingState), bytes.Compare(current, incoming)) >= 0 {
		return current, nil
	}
	return incoming, nil
}
