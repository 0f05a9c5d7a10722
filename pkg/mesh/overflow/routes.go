package overflow

// routeWeight is the weight of one response in the means of its route (EWMA).
const routeWeight = 0.1

// maxRoutes is the number of routes whose means are kept; a further route discards them.
const maxRoutes = 1000

// routeSizes holds the mean latency at mean speed in nanoseconds and the mean response
// size in bytes of the routes.
type routeSizes struct{ latencies, sizes map[string]float64 }

func newRouteSizes() routeSizes {
	return routeSizes{latencies: make(map[string]float64), sizes: make(map[string]float64)}
}

func addMean(means map[string]float64, route string, value float64) {
	mean, ok := means[route]
	if !ok {
		if len(means) >= maxRoutes {
			clear(means)
		}
		mean = value
	}
	means[route] = mean + routeWeight*(value-mean)
}

func (r routeSizes) addLatency(route string, latency float64) { addMean(r.latencies, route, latency) }

func (r routeSizes) addSize(route string, bytes int64) { addMean(r.sizes, route, float64(bytes)) }

func (r routeSizes) size(route string) int64 { return int64(r.sizes[route]) }

func (r routeSizes) latency(route string) float64 {
	if latency, ok := r.latencies[route]; ok {
		return latency
	}
	return float64(defaultLatency)
}
