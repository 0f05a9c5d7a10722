package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/quota"
	"github.com/azurespring/azurespring/pkg/quotasync"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// quotaStopTimeout bounds the messages by which a node that stops returns its shares. It
// is within closeTimeout.
const quotaStopTimeout = 200 * time.Millisecond

func newQuota(s *shared, t *tracker, h *hopClient) *quotasync.Service {
	return quotasync.New(quotasync.Options{
		Node: s.settings.Instance, Incarnation: uint64(time.Now().UnixNano()),
		Rule:  quota.Rule{Window: s.settings.QuotaWindow, Overage: s.settings.QuotaOverage, Slack: s.settings.QuotaSlack},
		Store: t.store, Snapshot: func() *mesh.Snapshot { return s.snapshot.Load() }, Nodes: t.quotaNodes, Era: t.storeEraSince,
		Post: h.post, Now: quotasync.BootClock, Metrics: s.metrics.scope,
		Log: func(event string, f map[string]any) { s.log.event(event, f) },
	})
}

// takeQuota admits the request under the quota of its tenant.
func (x *request) takeQuota() *verdict.Error {
	if x.tenant == nil {
		return nil
	}
	permit, retryAfter := x.entry.deps.quota.Admit(x.ctx, x.tenant, x.deadline.Sub(x.entry.deps.now()))
	if retryAfter > 0 {
		err := verdict.NotRunErrorf(verdict.QuotaExceeded, "the tenant has used its quota")
		err.RetryAfter = retryAfter
		return err
	}
	x.quotaPermit = permit
	return nil
}

// returnQuota gives the admission of a request back that has certainly not run.
func (x *request) returnQuota(failure *verdict.Error) {
	if failure != nil && failure.Verdict == verdict.NotRun && x.tenant != nil {
		x.entry.deps.quota.Return(x.quotaPermit)
	}
}

// quotaNodes returns the nodes that have an entry, by name.
func (t *tracker) quotaNodes() map[string]quotasync.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make(map[string]quotasync.Node, len(t.instances))
	for _, i := range t.instances {
		nodes[i.Name] = quotasync.Node{Address: i.Address, CPUShare: i.CPUShare}
	}
	return nodes
}

// post sends a message to the node at address and returns the body of its response.
func (h *hopClient) post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: path}, Host: address, Header: http.Header{"User-Agent": {""}},
		Body: exchange.InMemoryBody(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}).WithContext(ctx)
	h.deps.uplink.countBytes(len(body))
	response, failure := h.pool(address).Do(ctx, exchange.Request{Request: request, MaxDialWait: maxNodeDialWait})
	if failure != nil {
		return nil, failure
	}
	defer response.Body.Close()
	received, err := io.ReadAll(io.LimitReader(response.Body, quotasync.MaxMessageBytes))
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "read response")
	case response.StatusCode != http.StatusOK:
		return nil, eris.Errorf("the node responded with status %d", response.StatusCode)
	}
	return received, nil
}
