package sidecar

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics holds the counters, gauges and histograms of a node.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

func (m *metrics) request(service, kind, outcome string, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"service": service, "kind": kind, "outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_duration", latencyBuckets).RecordDuration(took)
}

func (m *metrics) attempt(distance, outcome string) {
	m.scope.Tagged(map[string]string{"distance": distance, "outcome": outcome}).Counter("tries").Inc(1)
}

func (m *metrics) retry(service, allowed string) {
	m.scope.Tagged(map[string]string{"service": service, "allowed": allowed}).Counter("repeats").Inc(1)
}

func (m *metrics) overflowShare(service, distance string, share float64) {
	m.scope.Tagged(map[string]string{"service": service, "distance": distance}).Gauge("overflow_share").Update(share)
}

func (m *metrics) endpointConnection() { m.scope.Counter("endpoint_connections_opened").Inc(1) }

func (m *metrics) nodeConnection() { m.scope.Counter("node_connections_opened").Inc(1) }

func (m *metrics) connectionCut(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("connections_cut").Inc(1)
}

// keyCheck counts a decision about the key of a request.
func (m *metrics) keyCheck(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("key_checks").Inc(1)
}

func (m *metrics) evacuationRejection(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("evacuation_rejections").Inc(1)
}

func (m *metrics) coldRejection() { m.scope.Counter("cold_rejections").Inc(1) }

func (m *metrics) warmthDoubted(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("warmth_doubts").Inc(1)
}

func (m *metrics) warmthQuery(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("warmth_queries").Inc(1)
}

func (m *metrics) clientRefused(listener, reason string) {
	m.scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("clients_refused").Inc(1)
}

func (m *metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
