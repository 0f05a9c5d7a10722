package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// CounterMessage carries a reporter's counters to its collector.
type CounterMessage struct {
	// Reporter is unique for each start of a process.
	Reporter string        `cbor:"1,keyasint"`
	Counters []SlotCounter `cbor:"2,keyasint"`
}

// CounterAck tells a reporter which of its lines the platform holds.
type CounterAck struct {
	Stored []SlotCounter `cbor:"1,keyasint"`
}

// Event is one input of the collector. Exactly one pointer is set, or Tick.
type Event struct {
	Tick        bool
	Received    *Received
	ReadResult  *ReadResult
	WriteResult *WriteResult
	IndexResult *IndexResult
}

// Received is a message that waits for the answer called ID.
type Received struct {
	RequestID uint64
	Message   CounterMessage
}

// ReadResult is the result of reading an object.
type ReadResult struct {
	Start  int64
	Failed bool
	// Version is empty if there is no object yet.
	Version string
	Content ObjectContent
}

// WriteResult is the result of a conditional write. A failed write may have taken
// effect.
type WriteResult struct {
	Start   int64
	Failed  bool
	Version string
}

// IndexResult is the result of entering the failure domain into the index.
type IndexResult struct{ Failed bool }

// Effect is one output of the collector. Exactly one pointer is set, or Index.
type Effect struct {
	Reply      *Reply
	Read       *ReadObject
	Write      *WriteObject
	AddToIndex bool
	// DeleteStart is the begin of an object that is older than retention.
	DeleteStart *int64
	// DroppedStart is the begin of an object that was given up unwritten.
	DroppedStart *int64
}

// Reply answers a message.
type Reply struct {
	RequestID uint64
	Ack       CounterAck
}

// ReadObject asks for an object.
type ReadObject struct{ Start int64 }

// WriteObject stores an object if its version is still Version; an empty Version
// creates it.
type WriteObject struct {
	Start   int64
	Version string
	Content ObjectContent
}

// ObjectContent is the value of a KindReportPeriod object.
type ObjectContent struct {
	Messages []CounterMessage `cbor:"1,keyasint"`
}

const (
	// writeInterval is the shortest time between writes of one collector.
	writeInterval = time.Minute
	// callTimeout is the time after which the result of a platform call no longer
	// is waited for.
	callTimeout = 30 * time.Second
	// retention is the time for which objects stay in the platform.
	retention = 35 * 24 * time.Hour
	// keepStored is how long after its end a stored object is kept in memory.
	keepStored = 30 * time.Minute
)

type lineKey struct {
	reporter   string
	slot       int64
	department string
}

// object is the collector's copy of one KindReportPeriod.
type object struct {
	lines, stored map[lineKey]Counts
	version       string
	loaded        bool
	// writing is what the write under way contains.
	writing map[lineKey]Counts
}

func (o *object) dirty() bool { return !maps.Equal(o.lines, o.stored) }

// Collector is the reducer that merges the counters of one failure domain and
// keeps them in the platform. All merges take the maximum per reporter, so that
// resent messages and several collectors count each call once.
type Collector struct {
	objects map[int64]*object
	// busy is when the platform call under way began; zero if there is none.
	busy    time.Time
	wrote   time.Time
	indexed bool
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{objects: map[int64]*object{}} }

// Step implements reducer.Reducer.
func (c *Collector) Step(now time.Time, event Event) []Effect {
	switch {
	case event.Received != nil:
		return c.receive(now, *event.Received)
	case event.ReadResult != nil:
		return c.load(now, *event.ReadResult)
	case event.WriteResult != nil:
		return c.finish(*event.WriteResult)
	case event.IndexResult != nil:
		c.indexed = !event.IndexResult.Failed
	case event.Tick:
		return append(c.trim(now), c.tick(now)...)
	}
	return nil
}

func (c *Collector) receive(now time.Time, r Received) []Effect {
	var answer CounterAck
	for _, line := range r.Message.Counters {
		if now.Sub(time.Unix(line.SlotStart, 0)) > maxKept || time.Unix(line.SlotStart, 0).After(now.Add(SlotDuration)) {
			continue
		}
		o := c.object(startOf(line.SlotStart))
		key := lineKey{r.Message.Reporter, line.SlotStart, line.Department}
		o.lines[key] = o.lines[key].max(line.Counts)
		if stored, ok := o.stored[key]; ok {
			line.Counts = stored
			answer.Stored = append(answer.Stored, line)
		}
	}
	return []Effect{{Reply: &Reply{RequestID: r.RequestID, Ack: answer}}}
}

func startOf(slot int64) int64 { return time.Unix(slot, 0).Truncate(ObjectDuration).Unix() }

func (c *Collector) object(start int64) *object {
	o := c.objects[start]
	if o == nil {
		o = &object{lines: map[lineKey]Counts{}, stored: map[lineKey]Counts{}}
		c.objects[start] = o
	}
	return o
}

// tick begins the next platform call if one is due: the oldest object that
// differs from the platform's copy is read unless known, and written.
func (c *Collector) tick(now time.Time) []Effect {
	if !c.busy.IsZero() && now.Sub(c.busy) < callTimeout {
		return nil
	}
	if !c.busy.IsZero() {
		c.giveUp()
	}
	if !c.wrote.IsZero() && now.Sub(c.wrote) < writeInterval {
		return nil
	}
	for _, start := range slices.Sorted(maps.Keys(c.objects)) {
		o := c.objects[start]
		if !o.dirty() {
			continue
		}
		c.busy = now
		if !o.loaded {
			return []Effect{{Read: &ReadObject{Start: start}}}
		}
		return c.write(now, start, o)
	}
	return nil
}

// giveUp ends a call without a result. It may have taken effect, so that the
// objects must be read again.
func (c *Collector) giveUp() {
	c.busy = time.Time{}
	for _, o := range c.objects {
		if o.writing != nil {
			o.writing, o.loaded = nil, false
		}
	}
}

func (c *Collector) write(now time.Time, start int64, o *object) []Effect {
	c.busy, c.wrote = now, now
	o.writing = maps.Clone(o.lines)
	return []Effect{{Write: &WriteObject{Start: start, Version: o.version, Content: contentOf(o.lines)}}}
}

func (c *Collector) load(now time.Time, l ReadResult) []Effect {
	c.busy = time.Time{}
	o := c.objects[l.Start]
	if l.Failed || o == nil {
		c.wrote = now // a platform that is down is asked once a minute
		return nil
	}
	o.loaded, o.version, o.stored = true, l.Version, map[lineKey]Counts{}
	for _, message := range l.Content.Messages {
		for _, line := range message.Counters {
			key := lineKey{message.Reporter, line.SlotStart, line.Department}
			o.stored[key] = line.Counts
			o.lines[key] = o.lines[key].max(line.Counts)
		}
	}
	if !o.dirty() {
		return nil
	}
	return c.write(now, l.Start, o)
}

func (c *Collector) finish(w WriteResult) []Effect {
	c.busy = time.Time{}
	o := c.objects[w.Start]
	if o == nil || o.writing == nil {
		return nil
	}
	written := o.writing
	o.writing = nil
	if w.Failed {
		o.loaded = false
		return nil
	}
	first := o.version == ""
	o.stored, o.version = written, w.Version
	var effects []Effect
	if first {
		old := time.Unix(w.Start, 0).Add(-retention).Unix()
		effects = append(effects, Effect{DeleteStart: &old})
	}
	if !c.indexed {
		effects = append(effects, Effect{AddToIndex: true})
	}
	return effects
}

// trim drops what is stored or too old.
func (c *Collector) trim(now time.Time) []Effect {
	var effects []Effect
	for _, start := range slices.Sorted(maps.Keys(c.objects)) {
		age := now.Sub(time.Unix(start, 0).Add(ObjectDuration))
		o := c.objects[start]
		switch {
		case age > keepStored && !o.dirty():
			delete(c.objects, start)
		case age > maxKept:
			delete(c.objects, start)
			effects = append(effects, Effect{DroppedStart: &start})
		}
	}
	return effects
}

func compareLines(a, b SlotCounter) int {
	return cmp.Or(cmp.Compare(a.SlotStart, b.SlotStart), cmp.Compare(a.Department, b.Department))
}

// contentOf orders lines, so that equal counters give equal content.
func contentOf(lines map[lineKey]Counts) ObjectContent {
	by := map[string][]SlotCounter{}
	for key, counts := range lines {
		by[key.reporter] = append(by[key.reporter], SlotCounter{SlotStart: key.slot, Department: key.department, Counts: counts})
	}
	var content ObjectContent
	for _, reporter := range slices.Sorted(maps.Keys(by)) {
		slices.SortFunc(by[reporter], compareLines)
		content.Messages = append(content.Messages, CounterMessage{Reporter: reporter, Counters: by[reporter]})
	}
	return content
}
