package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func testLimits() Limits {
	return Limits{
		MemoryBytes: 1000, Descriptors: [listenerCount]int{Outbound: 4, Inbound: 4, Readiness: 2, Control: 2, Metrics: 2},
		SlowAfter: time.Second, MinBytesPerSecond: 100,
	}
}

func open(t *testing.T, l *Ledger, now time.Time, listener Listener, isPeer bool) ID {
	t.Helper()
	id, victims, isAdmitted := l.Open(now, listener, isPeer)
	assert.Assert(t, isAdmitted)
	assert.Equal(t, len(victims), 0)
	return id
}

// A crowd that stops within header sections must not keep a further client out: the slow
// connections end, not the ones that run requests.
func TestSlowConnectionsMakeRoomForOthers(t *testing.T) {
	l := New(testLimits())
	running, slow := open(t, l, start, Outbound, false), open(t, l, start, Outbound, false)
	l.Enter(start, running, Running)
	l.Enter(start, slow, Sending)
	fast := open(t, l, start, Outbound, false)
	l.Enter(start, fast, Sending)
	l.Move(fast, 1000)
	writing := open(t, l, start, Outbound, false)
	l.Enter(start, writing, Reading)
	l.Move(writing, 1000)
	_, _, isAdmitted := l.Open(start.Add(500*time.Millisecond), Outbound, false)
	assert.Assert(t, !isAdmitted, "a connection was ended before it was slow")
	_, victims, isAdmitted := l.Open(start.Add(2*time.Second), Outbound, false)
	assert.Assert(t, isAdmitted)
	assert.DeepEqual(t, victims, []ID{slow})
}

// A client must not be taken for slow for the time in which the node reads nothing, but one
// that sends byte by byte is.
func TestOnlyTimeSpentWaitingCounts(t *testing.T) {
	l := New(testLimits())
	held, trickling := open(t, l, start, Outbound, false), open(t, l, start, Outbound, false)
	now := start
	for _, id := range []ID{held, trickling} {
		l.Enter(now, id, Sending)
		l.Enter(now, id, Running)
	}
	for range 100 {
		l.Enter(now, trickling, Sending)
		now = now.Add(20 * time.Millisecond)
		l.Move(trickling, 1)
		l.Enter(now, trickling, Running)
	}
	l.Enter(now, held, Sending)
	l.Enter(now, trickling, Sending)
	for range 2 {
		open(t, l, now, Outbound, false)
	}
	_, victims, isAdmitted := l.Open(now, Outbound, false)
	assert.Assert(t, isAdmitted)
	assert.Equal(t, victims[0], trickling)
	for _, id := range victims {
		assert.Assert(t, id != held)
	}
}

// A client that has taken much and then stops must not count as fast for long.
func TestClientThatStopsIsSlow(t *testing.T) {
	l := New(testLimits())
	stopped := open(t, l, start, Outbound, false)
	l.Enter(start, stopped, Reading)
	l.Move(stopped, 1_000_000)
	l.Enter(start, stopped, Running)
	l.Enter(start, stopped, Reading)
	for range 3 {
		l.Enter(start, open(t, l, start, Outbound, false), Running)
	}
	_, victims, isAdmitted := l.Open(start.Add(time.Second), Outbound, false)
	assert.Assert(t, isAdmitted)
	assert.DeepEqual(t, victims, []ID{stopped})
}

// Idle connections that never sent anything must end before those of ordinary clients.
func TestUnusedConnectionsEndBeforeKeptOnes(t *testing.T) {
	l := New(testLimits())
	kept := open(t, l, start, Outbound, false)
	l.Enter(start, kept, Running)
	l.Enter(start, kept, Idle)
	unused := open(t, l, start.Add(time.Second), Outbound, false)
	for range 2 {
		l.Enter(start, open(t, l, start, Outbound, false), Running)
	}
	_, victims, isAdmitted := l.Open(start.Add(2*time.Second), Outbound, false)
	assert.Assert(t, isAdmitted)
	assert.DeepEqual(t, victims, []ID{unused})
}

// Clients must not take the connections of other nodes.
func TestOtherNodesReachTheInboundListener(t *testing.T) {
	l := New(testLimits())
	for range 2 {
		l.Enter(start, open(t, l, start, Inbound, false), Running)
	}
	_, _, isAdmitted := l.Open(start, Inbound, false)
	assert.Assert(t, !isAdmitted)
	var peer ID
	for range 4 { // Two of Inbound and two that Outbound does not use.
		peer = open(t, l, start, Inbound, true)
		l.Enter(start, peer, Running)
	}
	_, _, isAdmitted = l.Open(start, Inbound, true)
	assert.Assert(t, !isAdmitted)
	l.Enter(start, peer, Idle)
	_, _, isAdmitted = l.Open(start, Inbound, false)
	assert.Assert(t, !isAdmitted, "a connection of another node was ended for a client")
	// A crowd at one listener takes nothing from another.
	for range 2 {
		l.Enter(start, open(t, l, start, Outbound, false), Running)
	}
	open(t, l, start, Control, false)
	_, _, isAdmitted = l.Open(start, Outbound, false)
	assert.Assert(t, !isAdmitted, "other nodes use this descriptor")
}

// A request must not be refused for memory that slow clients hold, and a client that holds
// much must not end those that hold little.
func TestMemoryIsTakenFromSlowConnections(t *testing.T) {
	l := New(testLimits())
	slow, fast, asking := open(t, l, start, Outbound, false), open(t, l, start, Outbound, false), open(t, l, start, Outbound, false)
	hold := func(now time.Time, id ID, bytes int64, want bool, wantVictims ...ID) {
		t.Helper()
		victims, isAdmitted := l.Hold(now, id, bytes)
		assert.Equal(t, isAdmitted, want)
		assert.Equal(t, len(victims), len(wantVictims))
		for i, id := range wantVictims {
			assert.Equal(t, victims[i], id)
		}
	}
	l.Enter(start, slow, Sending)
	l.Enter(start, fast, Running)
	hold(start, slow, 600, true)
	hold(start, fast, 300, true)
	hold(start, asking, 200, false)
	later := start.Add(2 * time.Second)
	hold(later, asking, 200, true, slow)
	hold(later, slow, 1, false)
	l.Close(slow)
	assert.Equal(t, l.Held(), int64(500))
	hold(later, fast, 400, true)
	hold(later, asking, 200, false)
}

// Whatever clients do, what is not being ended stays within the limits, and nothing stays
// counted when all connections have ended.
func TestLedgerStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := testLimits()
		l := New(limits)
		now := start
		ending, shared := map[ID]bool{}, int64(0)
		var open []ID
		end := func(victims []ID) {
			for _, id := range victims {
				assert.Assert(rt, !ending[id], "ended twice")
				ending[id] = true
			}
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
			var id ID
			if len(open) > 0 {
				id = rapid.SampledFrom(open).Draw(rt, "connection")
			}
			switch rapid.IntRange(0, 8).Draw(rt, "action") {
			case 0, 1:
				listener := Listener(rapid.IntRange(0, int(listenerCount)-1).Draw(rt, "listener"))
				id, victims, isAdmitted := l.Open(now, listener, rapid.Bool().Draw(rt, "peer"))
				end(victims)
				if isAdmitted {
					open = append(open, id)
				}
			case 2:
				l.Enter(now, id, Phase(rapid.IntRange(0, 3).Draw(rt, "phase")))
			case 3:
				l.Move(id, rapid.IntRange(0, 500).Draw(rt, "moved"))
			case 4:
				victims, _ := l.Hold(now, id, int64(rapid.IntRange(0, 600).Draw(rt, "bytes")))
				end(victims)
			case 5:
				l.Release(id, int64(rapid.IntRange(0, 600).Draw(rt, "bytes")))
			case 6:
				victims, _ := l.BeginCall(now, id)
				end(victims)
			case 7:
				l.EndCall(id)
			case 8:
				if l.HoldShared(100) {
					shared += 100
				}
			}
			assert.Assert(rt, l.held-l.ending+l.shared <= limits.MemoryBytes, "%d bytes are held", l.Held())
			used, limit := 0, 0
			for listener := range listenerCount {
				assert.Assert(rt, l.Descriptors(listener) >= 0)
				assert.Assert(rt, listener == Inbound || l.Descriptors(listener) <= limits.Descriptors[listener])
				used, limit = used+l.Descriptors(listener), limit+limits.Descriptors[listener]
			}
			assert.Assert(rt, used <= limit, "%d descriptors", used)
		}
		for _, id := range open {
			l.Close(id)
		}
		l.ReleaseShared(shared)
		assert.Equal(rt, l.Held(), int64(0))
		assert.Equal(rt, l.ending, int64(0))
		assert.DeepEqual(rt, l.descriptors, [listenerCount]int{})
		assert.DeepEqual(rt, l.peers, [listenerCount]int{})
	})
}

// 160 clients with kept connections and 16 requests each must not notice the limits of the
// smallest instances.
func TestOrdinaryClientsStayWithinDefaults(t *testing.T) {
	const clients, requests = 160, 16
	l := New(Limits{
		MemoryBytes: DefaultMemoryBytes(184 << 20), Descriptors: DefaultDescriptors(4100), SlowAfter: time.Second, MinBytesPerSecond: 4096,
	})
	for range clients {
		id := open(t, l, start, Outbound, false)
		for range requests {
			victims, isAdmitted := l.BeginCall(start, id)
			assert.Assert(t, isAdmitted && len(victims) == 0)
			victims, isAdmitted = l.Hold(start, id, RequestBytes(800, 16))
			assert.Assert(t, isAdmitted && len(victims) == 0)
		}
	}
	for _, descriptors := range []int{0, 250, 500, 4100, 8192} {
		sum, usable := 0, max(descriptors-filesReserve, filesReserve/4)
		if descriptors == 0 {
			usable = defaultDescriptors - filesReserve
		}
		for _, n := range DefaultDescriptors(descriptors) {
			assert.Assert(t, n > 0)
			sum += n
		}
		assert.Assert(t, descriptors == 250 || sum < usable*95/100, "%d descriptors: %d of %d", descriptors, sum, usable)
	}
}

// Header sections must be found wherever their pieces begin, as net/http reads them.
func TestHeaderEndIsFoundInPieces(t *testing.T) {
	for _, c := range []struct {
		text       string
		wantEnd    int
		wantFields int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", 27, 1},
		{"GET / HTTP/1.1\nHost: h\n\nrest", 24, 1},
		{"GET / HTTP/1.1\r\n\r\n", 18, 0},
		{"GET / HTTP/1.1\r\na:\r\nb:\r\nc:\r\n\r", 0, 3},
	} {
		for piece := 1; piece <= len(c.text); piece++ {
			s, end, isComplete := HeaderScanner{}, 0, false
			for at := 0; at < len(c.text) && !isComplete; at += piece {
				var n int
				var err error
				n, isComplete, err = s.Scan([]byte(c.text[at:min(at+piece, len(c.text))]))
				assert.NilError(t, err)
				end += n
			}
			assert.Equal(t, isComplete, c.wantEnd > 0)
			assert.Equal(t, s.Fields(), c.wantFields)
			assert.Assert(t, !isComplete || end == c.wantEnd, "%q in pieces of %d: %d", c.text, piece, end)
		}
	}
	s := HeaderScanner{MaxBytes: 20, MaxFields: 2}
	_, _, err := s.Scan([]byte("G\n" + "a:\nb:\nc:\n"))
	assert.ErrorIs(t, err, ErrTooManyFields)
	s.Reset()
	_, _, err = s.Scan(make([]byte, 21))
	assert.ErrorIs(t, err, ErrHeaderTooLarge)
}
