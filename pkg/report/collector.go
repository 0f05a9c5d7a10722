package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// CounterMessage carries the counters of a reporter, an entry node, to the collector
// of its failure domain.
type CounterMessage struct {
	// Reporter is unique for each process: a restarted node is a new reporter, whose
	// counters begin at 0.
	Reporter string        `cbor:"1,keyasint"`
	Counters []SlotCounter `cbor:"2,keyasint"`
}

// CounterAck tells a reporter which of its counters are stored in the platform, and
// with which values.
type CounterAck struct {
	Stored []SlotCounter `cbor:"1,keyasint"`
}

// Event is one input of the collector. Exactly one field is set.
type Event struct {
	Tick        bool
	Received    *Received
	ReadResult  *ReadResult
	WriteResult *WriteResult
	IndexResult *IndexResult
}

// Received is a message from a reporter. Its reply carries the same RequestID.
type Received struct {
	RequestID uint64
	Message   CounterMessage
}

// ReadResult is the result of reading an object.
type ReadResult struct {
	Start  int64
	Failed bool
	// Version is the resource version, empty if there is no object yet.
	Version string
	Content ObjectContent
}

// WriteResult is the result of a conditional write. Version is the new resource
// version. A failed write may have taken effect.
type WriteResult struct {
	Start   int64
	Failed  bool
	Version string
}

// IndexResult is the result of adding the failure domain to the index.
type IndexResult struct{ Failed bool }

// Effect is one output of the collector. Exactly one field is set.
type Effect struct {
	Reply      *Reply
	Read       *ReadObject
	Write      *WriteObject
	AddToIndex bool
	// DeleteStart is the start of an object to delete, which is older than
	// objectRetention.
	DeleteStart *int64
	// DroppedStart is the start of an object that was dropped before all its counters
	// were stored.
	DroppedStart *int64
}

// Reply is the reply to the message with the same RequestID.
type Reply struct {
	RequestID uint64
	Ack       CounterAck
}

// ReadObject requests that the object with this start is read.
type ReadObject struct{ Start int64 }

// WriteObject requests that an object is updated if its resource version is Version.
// An empty Version creates the object.
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
	// writeInterval is the least time between two writes of a collector.
	writeInterval = time.Minute
	// platformCallTimeout bounds a platform call. After it, the collector treats the
	// call's outcome as unknown.
	platformCallTimeout = 30 * time.Second
	// objectRetention is how long objects are kept in the platform.
	objectRetention = 35 * 24 * time.Hour
	// storedMemoryRetention is how long after the end of its hour a completely stored
	// object stays in the collector's memory.
	storedMemoryRetention = 30 * time.Minute
)

// counterKey identifies a SlotCounter of one reporter.
type counterKey struct {
	reporter   string
	slot       int64
	department string
}

// object is the collector's state of one KindReportPeriod object: the merged
// counters, and those that the platform stores.
type object struct {
	counters, stored map[counterKey]Counts
	resourceVersion  string
	loaded           bool
	// pendingWrite holds the counters of the write in progress; nil if there is none.
	pendingWrite map[counterKey]Counts
}

// dirty reports whether o has counters that are not stored.
func (o *object) dirty() bool { return !maps.Equal(o.counters, o.stored) }

// Collector is the state machine (reducer) that merges the counters of one failure
// domain and stores them in the platform. A merge takes the maximum of each counter
// of a reporter. So each call counts once, even if messages are repeated or there
// are several collectors.
type Collector struct {
	objects map[int64]*object
	// callStart is the start time of the platform call in progress; zero if there is
	// none.
	callStart time.Time
	lastWrite time.Time
	indexed   bool
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{objects: map[int64]*object{}} }

// Step implements reducer.Reducer.
func (c *Collector) Step(now time.Time, event Event) []Effect {
	switch {
	case event.Received != nil:
		return c.receive(now, *event.Received)
	case event.ReadResult != nil:
		return c.handleReadResult(now, *event.ReadResult)
	case event.WriteResult != nil:
		return c.handleWriteResult(*event.WriteResult)
	case event.IndexResult != nil:
		c.indexed = !event.IndexResult.Failed
	case event.Tick:
		return append(c.dropExpired(now), c.startDueCall(now)...)
	}
	return nil
}

// receive merges a reporter's counters and acknowledges those that are stored. It
// ignores counters that are too old or start in the future.
func (c *Collector) receive(now time.Time, r Received) []Effect {
	var ack CounterAck
	for _, counter := range r.Message.Counters {
		if now.Sub(time.Unix(counter.SlotStart, 0)) > maxCounterAge || time.Unix(counter.SlotStart, 0).After(now.Add(SlotDuration)) {
			continue
		}
		o := c.object(objectStart(counter.SlotStart))
		key := counterKey{r.Message.Reporter, counter.SlotStart, counter.Department}
		o.counters[key] = o.counters[key].max(counter.Counts)
		if stored, ok := o.stored[key]; ok {
			counter.Counts = stored
			ack.Stored = append(ack.Stored, counter)
		}
	}
	return []Effect{{Reply: &Reply{RequestID: r.RequestID, Ack: ack}}}
}

// objectStart returns the start of the object that contains a slot.
func objectStart(slot int64) int64 { return time.Unix(slot, 0).Truncate(ObjectDuration).Unix() }

// object returns the object with the given start and creates it if needed.
func (c *Collector) object(start int64) *object {
	o := c.objects[start]
	if o == nil {
		o = &object{counters: map[counterKey]Counts{}, stored: map[counterKey]Counts{}}
		c.objects[start] = o
	}
	return o
}

// startDueCall starts the next platform call if one is due. It writes the oldest
// object that has unstored counters, or reads it first if its stored content is
// unknown.
func (c *Collector) startDueCall(now time.Time) []Effect {
	if !c.callStart.IsZero() && now.Sub(c.callStart) < platformCallTimeout {
		return nil
	}
	if !c.callStart.IsZero() {
		c.abandonCall()
	}
	if !c.lastWrite.IsZero() && now.Sub(c.lastWrite) < writeInterval {
		return nil
	}
	for _, start := range slices.Sorted(maps.Keys(c.objects)) {
		o := c.objects[start]
		if !o.dirty() {
			continue
		}
		c.callStart = now
		if !o.loaded {
			return []Effect{{Read: &ReadObject{Start: start}}}
		}
		return c.startWrite(now, start, o)
	}
	return nil
}

// abandonCall gives up waiting for the result of a platform call. A write may have
// taken effect, so its object must be read again.
func (c *Collector) abandonCall() {
	c.callStart = time.Time{}
	for _, o := range c.objects {
		if o.pendingWrite != nil {
			o.pendingWrite, o.loaded = nil, false
		}
	}
}

// startWrite starts the write of all counters of an object.
func (c *Collector) startWrite(now time.Time, start int64, o *object) []Effect {
	c.callStart, c.lastWrite = now, now
	o.pendingWrite = maps.Clone(o.counters)
	return []Effect{{Write: &WriteObject{Start: start, Version: o.resourceVersion, Content: contentOf(o.counters)}}}
}

// handleReadResult merges the stored counters of an object and writes the object if
// it has unstored ones.
func (c *Collector) handleReadResult(now time.Time, result ReadResult) []Effect {
	c.callStart = time.Time{}
	o := c.objects[result.Start]
	if result.Failed || o == nil {
		c.lastWrite = now // retries after writeInterval, to spare a failing platform
		return nil
	}
	o.loaded, o.resourceVersion, o.stored = true, result.Version, map[counterKey]Counts{}
	for _, message := range result.Content.Messages {
		for _, counter := range message.Counters {
			key := counterKey{message.Reporter, counter.SlotStart, counter.Department}
			o.stored[key] = counter.Counts
			o.counters[key] = o.counters[key].max(counter.Counts)
		}
	}
	if !o.dirty() {
		return nil
	}
	return c.startWrite(now, result.Start, o)
}

// handleWriteResult records what is stored. With the first write of an object it
// also requests the deletion of the expired object one objectRetention earlier.
func (c *Collector) handleWriteResult(result WriteResult) []Effect {
	c.callStart = time.Time{}
	o := c.objects[result.Start]
	if o == nil || o.pendingWrite == nil {
		return nil
	}
	written := o.pendingWrite
	o.pendingWrite = nil
	if result.Failed {
		o.loaded = false
		return nil
	}
	isFirstWrite := o.resourceVersion == ""
	o.stored, o.resourceVersion = written, result.Version
	var effects []Effect
	if isFirstWrite {
		expired := time.Unix(result.Start, 0).Add(-objectRetention).Unix()
		effects = append(effects, Effect{DeleteStart: &expired})
	}
	if !c.indexed {
		effects = append(effects, Effect{AddToIndex: true})
	}
	return effects
}

// dropExpired removes objects from memory some time after they are stored, and
// objects that are too old whether stored or not.
func (c *Collector) dropExpired(now time.Time) []Effect {
	var effects []Effect
	for _, start := range slices.Sorted(maps.Keys(c.objects)) {
		age := now.Sub(time.Unix(start, 0).Add(ObjectDuration))
		o := c.objects[start]
		switch {
		case age > storedMemoryRetention && !o.dirty():
			delete(c.objects, start)
		case age > maxCounterAge:
			delete(c.objects, start)
			effects = append(effects, Effect{DroppedStart: &start})
		}
	}
	return effects
}

// compareCounters orders counters by slot and department.
func compareCounters(a, b SlotCounter) int {
	return cmp.Or(cmp.Compare(a.SlotStart, b.SlotStart), cmp.Compare(a.Department, b.Department))
}

// contentOf returns counters as the content of an object. It sorts them, so that
// equal counters are encoded equally.
func contentOf(counters map[counterKey]Counts) ObjectContent {
	byReporter := map[string][]SlotCounter{}
	for key, counts := range counters {
		byReporter[key.reporter] = append(byReporter[key.reporter], SlotCounter{SlotStart: key.slot, Department: key.department, Counts: counts})
	}
	var content ObjectContent
	for _, reporter := range slices.Sorted(maps.Keys(byReporter)) {
		slices.SortFunc(byReporter[reporter], compareCounters)
		content.Messages = append(content.Messages, CounterMessage{Reporter: reporter, Counters: byReporter[reporter]})
	}
	return content
}
