package admin

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which collected metrics are passed to the
// registry that /metrics serves.
const metricsInterval = time.Second

// NewMetrics returns the scope that records a process's metrics and the handler
// that serves them in the Prometheus format. Each call uses its own registry, so
// that several nodes in one process do not collide. closer stops the reporting.
func NewMetrics(logger logrus.FieldLogger) (scope tally.Scope, handler http.Handler, closer io.Closer) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	metrics := reporter.NewReporter(reporter.Options{
		Registerer: registry, Gatherer: registry, DefaultTimerType: reporter.HistogramTimerType,
		OnRegisterError: func(err error) { logger.WithError(err).Error("cannot register metric") },
	})
	scope, closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "azurespring", CachedReporter: metrics, Separator: reporter.DefaultSeparator,
		SanitizeOptions: &reporter.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, metrics.HTTPHandler(), closer
}
