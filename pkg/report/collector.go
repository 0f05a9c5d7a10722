package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Message carries a reporter's counters to its collector.
type Message struct {
	// Reporter is unique for each start of a process.
	Reporter string `cbor:"1,keyasint"`
	Lines    []Line `cbor:"2,keyasint"`
}

// Result tells a reporter which of its lines the platform holds.
type Answer struct {
	Stored []Line `cbor:"1,keyasint"`
}

// Event is one input of the collector. Exactly one pointer is set, or Tick.
type Event struct {
	Tick     bool
	Received *Received
	Loaded   *Loaded
	Wrote    *Wrote
	Indexed  *Indexed
}

// Received is a message that waits for the answer called ResponseID.
type Received struct {
	ID      uint64
	Message Message
}

// Loaded is the result of reading an object.
type Loaded struct {
	Start  int64
	Failed bool
	// Version is empty if there is no object yet.
	Version string
	Content Content
}

// Wrote is the result of a conditional write. A failed write may have taken
// effect.
type Wrote struct {
	Start   int64
	Failed  bool
	Version string
}

// Indexed is the result of entering the failure domain into the index.
type Indexed struct{ Failed bool }

// Effect is one output of the collector. Exactly one pointer is set, or Index.
type Effect struct {
	Reply *Reply
	Load  *Load
	Write *Write
	Index bool
	// Delete is the begin of an object that is older than retention.
	Delete *int64
	// Dropped is the begin of an object that was given up unwritten.
	Dropped *int64
}

// Reply answers a message.
type Reply struct {
	ID     uint64
	Answer Answer
}

// Load asks for an object.
type Load struct{ Start int64 }

// Write stores an object if its version is still Version; an empty Version
// creates it.
type Write struct {
	Start   int64
	Version string
	Content Content
}

// Content is the value of a ReportPeriod object.
type Content struct {
	Reporters []Message `cbor:"1,keyasint"`
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

// object is the collector's copy of one ReportPeriod.
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
	case event.Loaded != nil:
		return c.load(now, *event.Loaded)
	case event.Wrote != nil:
		return c.finish(*event.Wrote)
	case event.Indexed != nil:
		c.indexed = !event.Indexed.Failed
	case event.Tick:
		return append(c.trim(now), c.tick(now)...)
	}
	return nil
}

func (c *Collector) receive(now time.Time, r Received) []Effect {
	var answer Answer
	for _, line := range r.Message.Lines {
		if now.Sub(time.Unix(line.Slot, 0)) > maxKept || time.Unix(line.Slot, 0).After(now.Add(Slot)) {
			continue
		}
		o := c.object(startOf(line.Slot))
		key := lineKey{r.Message.Reporter, line.Slot, line.Department}
		o.lines[key] = o.lines[key].max(line.Counts)
		if stored, ok := o.stored[key]; ok {
			line.Counts = stored
			answer.Stored = append(answer.Stored, line)
		}
	}
	return []Effect{{Reply: &Reply{ID: r.ID, Answer: answer}}}
}

func startOf(slot int64) int64 { return time.Unix(slot, 0).Truncate(Span).Unix() }

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
			return []Effect{{Load: &Load{Start: start}}}
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
	return []Effect{{Write: &Write{Start: start, Version: o.version, Content: contentOf(o.lines)}}}
}

func (c *Collector) load(now time.Time, l Loaded) []Effect {
	c.busy = time.Time{}
	o := c.objects[l.Start]
	if l.Failed || o == nil {
		c.wrote = now // a platform that is down is asked once a minute
		return nil
	}
	o.loaded, o.version, o.stored = true, l.Version, map[lineKey]Counts{}
	for _, message := range l.Content.Reporters {
		for _, line := range message.Lines {
			key := lineKey{message.Reporter, line.Slot, line.Department}
			o.stored[key] = line.Counts
			o.lines[key] = o.lines[key].max(line.Counts)
		}
	}
	if !o.dirty() {
		return nil
	}
	return c.write(now, l.Start, o)
}

func (c *Collector) finish(w Wrote) []Effect {
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
		effects = append(effects, Effect{Delete: &old})
	}
	if !c.indexed {
		effects = append(effects, Effect{Index: true})
	}
	return effects
}

// trim drops what is stored or too old.
func (c *Collector) trim(now time.Time) []Effect {
	var effects []Effect
	for _, start := range slices.Sorted(maps.Keys(c.objects)) {
		age := now.Sub(time.Unix(start, 0).Add(Span))
		o := c.objects[start]
		switch {
		case age > keepStored && !o.dirty():
			delete(c.objects, start)
		case age > maxKept:
			delete(c.objects, start)
			effects = append(effects, Effect{Dropped: &start})
		}
	}
	return effects
}

func compareLines(a, b Line) int {
	return cmp.Or(cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Department, b.Department))
}

// contentOf orders lines, so that equal counters give equal content.
func contentOf(lines map[lineKey]Counts) Content {
	by := map[string][]Line{}
	for key, counts := range lines {
		by[key.reporter] = append(by[key.reporter], Line{Slot: key.slot, Department: key.department, Counts: counts})
	}
	var content Content
	for _, reporter := range slices.Sorted(maps.Keys(by)) {
		slices.SortFunc(by[reporter], compareLines)
		content.Reporters = append(content.Reporters, Message{Reporter: reporter, Lines: by[reporter]})
	}
	return content
}
