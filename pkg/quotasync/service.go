// Package quotasync keeps the quotas of tenants over all nodes: it exchanges the messages
// of package quota with other nodes and keeps the terms of granters in the store.
package quotasync

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/quota"
	"github.com/azurespring/azurespring/pkg/platform"
)

const (
	// MaxWait bounds the time for which a request waits for a grant, and maxWaitFraction
	// the part of the time that it has left. A refused client loses more: on small instances
	// under load, 100 ms refused requests whose grant was on its way.
	MaxWait         = 250 * time.Millisecond
	maxWaitFraction = 0.25
	// messageTimeout bounds one exchange with another node.
	messageTimeout = 300 * time.Millisecond
	// termPollInterval is the time between two looks at the terms of this node, and
	// waitPollInterval between two looks at the buckets of requests that wait.
	termPollInterval = 100 * time.Millisecond
	waitPollInterval = 10 * time.Millisecond
	// nodesInterval is the time between two reads of the list of nodes.
	nodesInterval = time.Second
	// announceInterval is the time between two announcements of a term to the same node.
	announceInterval = 500 * time.Millisecond
	// maxAnnouncements bounds the announcements of a term that are under way.
	maxAnnouncements = 32
	// defaultWindow, defaultOverage and defaultSlack apply if the settings have no bounds
	// of quotas but a tenant has a limit. They are those of the deployments with tenants.
	defaultWindow  = 5 * time.Second
	defaultOverage = 0.1
	defaultSlack   = 20
)

// Node is a live node.
type Node struct {
	// Address is the address at which the node accepts messages.
	Address string
	// CPUShare is the part of a core that the node has, 0 if unknown.
	CPUShare float64
}

// Options are the dependencies of a Service.
type Options struct {
	// Node is the name of this node, and Incarnation the start of its process.
	Node        string
	Incarnation uint64
	Rule        quota.Rule
	Store       platform.Store
	// Snapshot returns the configuration in force, nil if there is none.
	Snapshot func() *mesh.Snapshot
	// Nodes returns the live nodes by name.
	Nodes func() map[string]Node
	// Era returns the era of the store and since when, on the clock of Now, it is known; nil if
	// the store has none.
	Era func() (since time.Duration, era uint64)
	// Post sends a message to the node at address and returns the body of its response.
	Post func(ctx context.Context, address, path string, body []byte) ([]byte, error)
	// Now is a clock that counts suspension, such as BootClock.
	Now     func() time.Duration
	Log     func(event string, fields map[string]any)
	Metrics tally.Scope
}

// Service admits the requests of tenants with a limit. It is safe for concurrent use.
type Service struct {
	options Options
	wake    chan struct{}

	mu          sync.Mutex
	holder      *quota.Holder
	granters    [quota.Slots]*quota.Granter
	terms       [quota.Slots]uint64
	snapshot    *mesh.Snapshot
	addresses   map[string]Node
	nodesReadAt time.Duration
	waiters     map[string][]*waiter
	announcedAt map[announcementKey]time.Duration
	announcing  int
}

type announcementKey struct {
	node string
	slot int
}

// New returns a service that has no shares yet.
func New(o Options) *Service {
	if o.Rule.Window <= 0 {
		o.Rule = quota.Rule{Window: defaultWindow, Overage: defaultOverage, Slack: defaultSlack}
	}
	s := &Service{
		options: o, wake: make(chan struct{}, 1), holder: quota.NewHolder(o.Node, o.Incarnation),
		waiters: make(map[string][]*waiter), announcedAt: make(map[announcementKey]time.Duration),
	}
	for slot := range s.granters {
		s.granters[slot] = quota.NewGranter(slot, o.Node, o.Incarnation)
		s.granters[slot].SetPhase(time.Duration(time.Now().UnixNano()%int64(time.Hour)) - o.Now()%time.Hour + time.Hour)
	}
	return s
}

// refresh applies a new configuration and, from time to time, the list of nodes. s.mu must
// be held.
func (s *Service) refresh() {
	if snapshot := s.options.Snapshot(); snapshot != nil && snapshot != s.snapshot {
		s.snapshot = snapshot
		limits := make(map[string]quota.Limit)
		for _, t := range snapshot.Tenants() {
			if t.RatePerSecond > 0 {
				limits[t.Name] = quota.Limit{Rate: t.RatePerSecond, Burst: t.Burst, Rule: s.options.Rule}
			}
		}
		s.holder.SetLimits(limits)
		for _, g := range s.granters {
			g.SetLimits(limits)
		}
	}
	if s.options.Era != nil {
		since, era := s.options.Era()
		for _, g := range s.granters {
			g.SetEra(since, era)
		}
	}
	now := s.options.Now()
	if len(s.addresses) > 0 && now < s.nodesReadAt+nodesInterval {
		return
	}
	s.nodesReadAt = now
	addresses := s.options.Nodes()
	isSame := s.addresses != nil && len(addresses) == len(s.addresses)
	for name := range addresses {
		if known, ok := s.addresses[name]; !ok || known.CPUShare != addresses[name].CPUShare {
			isSame = false
		}
	}
	if s.addresses = addresses; isSame {
		return
	}
	names, nodes := make([]string, 0, len(addresses)), make([]quota.Node, 0, len(addresses))
	for name, node := range addresses {
		names = append(names, name)
		nodes = append(nodes, quota.Node{Name: name, CPUShare: node.CPUShare})
	}
	s.holder.SetNodes(nodes)
	for _, g := range s.granters {
		g.SetNodes(now, names)
	}
}

func (s *Service) addressOf(node string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[node].Address
}

func (s *Service) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run exchanges messages until ctx ends. Without requests of tenants with a limit, it does
// nothing.
func (s *Service) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.step())
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// step starts what is due and returns the time until the next call.
func (s *Service) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	next, isActive := s.holder.NextPoll(), false
	for _, g := range s.granters {
		isActive = isActive || g.IsActive(now)
	}
	if next == math.MaxInt64 && !isActive {
		return time.Hour
	}
	s.refresh()
	s.admitWaiting(now)
	for _, sending := range s.holder.Poll(now) {
		go s.send(sending)
	}
	for _, g := range s.granters {
		if call, ok := g.Step(now); ok {
			go s.complete(g, call)
		}
		s.announce(now, g)
	}
	wait := time.Hour
	if next = s.holder.NextPoll(); next != math.MaxInt64 {
		wait = max(next-now, time.Millisecond)
	}
	if len(s.waiters) > 0 {
		wait = min(wait, waitPollInterval)
	}
	if isActive {
		wait = min(wait, termPollInterval)
	}
	return wait
}

// send sends a request of the holder and applies the response.
func (s *Service) send(sending quota.Sending) {
	response, err := s.exchange(sending)
	s.mu.Lock()
	now := s.options.Now()
	if err == nil {
		s.holder.Accept(now, response)
	} else {
		s.holder.Fail(now, sending.Request.Slot, sending.Request.Sequence)
	}
	s.admitWaiting(now)
	s.mu.Unlock()
	if err != nil {
		s.options.Metrics.Counter("quota_messages_failed").Inc(1)
	}
	s.notify()
}

func (s *Service) exchange(sending quota.Sending) (quota.Response, error) {
	if sending.To == s.options.Node {
		return s.receive(sending.Request), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	var response quota.Response
	err := s.post(ctx, sending.To, GrantPath, sending.Request, &response)
	return response, err
}

// receive handles a request of a holder.
func (s *Service) receive(r quota.Request) quota.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	g := s.granters[r.Slot]
	response := g.Receive(s.options.Now(), r)
	if response.Status != quota.StatusGranted {
		s.notify()
	}
	return response
}

// announced handles the announcement of a granter.
func (s *Service) announced(a quota.Announcement) (quota.Request, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	request, ok := s.holder.Announced(s.options.Now(), a)
	if !ok {
		return quota.Request{}, eris.New("the term is older than a known one")
	}
	s.notify()
	return request, nil
}

// announce tells the nodes that have not reported of the term of a granter. s.mu must be
// held.
func (s *Service) announce(now time.Duration, g *quota.Granter) {
	term, grants := g.Term(now)
	if !grants {
		return
	}
	a := quota.Announcement{Slot: g.Slot(), Term: term, Granter: s.options.Node}
	for _, node := range g.Unreported() {
		key := announcementKey{node: node, slot: a.Slot}
		if at, ok := s.announcedAt[key]; ok && now < at+announceInterval || s.announcing >= maxAnnouncements {
			continue
		}
		s.announcedAt[key] = now
		s.announcing++
		go s.sendAnnouncement(g, node, a)
	}
}

func (s *Service) sendAnnouncement(g *quota.Granter, node string, a quota.Announcement) {
	var request quota.Request
	var err error
	if node == s.options.Node {
		request, err = s.announced(a)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		defer cancel()
		err = s.post(ctx, node, TermPath, a, &request)
	}
	s.mu.Lock()
	s.announcing--
	if err == nil && request.Slot == a.Slot && request.Holder == node {
		g.Report(s.options.Now(), request)
	}
	s.mu.Unlock()
	s.notify()
}

// complete performs a call of the store that a granter requested.
func (s *Service) complete(g *quota.Granter, call quota.StoreCall) {
	result, err := s.callStore(call)
	s.mu.Lock()
	now := s.options.Now()
	g.Complete(now, call, result)
	term, _ := g.Term(now)
	before := s.terms[g.Slot()]
	s.terms[g.Slot()] = term
	held := 0
	for _, each := range s.terms {
		if each > 0 {
			held++
		}
	}
	s.mu.Unlock()
	s.options.Metrics.Gauge("quota_terms_held").Update(float64(held))
	switch {
	case err != nil:
		s.options.Log("quota_store_failed", map[string]any{"slot": g.Slot(), "error": err.Error()})
	case term > 0 && before != term:
		s.options.Log("quota_term_begun", map[string]any{"slot": g.Slot(), "term": term})
	case term == 0 && before > 0:
		state := call.Record.State
		if call.Verb == quota.StoreGet {
			state = "lost"
		}
		s.options.Log("quota_term_ended", map[string]any{"slot": g.Slot(), "term": before, "state": state})
	}
	s.notify()
}

// Release ends the terms of this node, so that other nodes take over. It does not wait.
func (s *Service) Release() {
	s.mu.Lock()
	for _, g := range s.granters {
		g.Release()
	}
	s.mu.Unlock()
	s.notify()
}

// Stop returns the shares of this node. It waits until the granters have responded, at most
// until ctx ends.
func (s *Service) Stop(ctx context.Context) {
	s.Release()
	s.mu.Lock()
	last := s.holder.Stop(s.options.Now())
	s.mu.Unlock()
	var running sync.WaitGroup
	for _, sending := range last {
		running.Go(func() {
			if sending.To != s.options.Node {
				var response quota.Response
				_ = s.post(ctx, sending.To, GrantPath, sending.Request, &response) // Otherwise the leases end.
			}
		})
	}
	running.Wait()
}
