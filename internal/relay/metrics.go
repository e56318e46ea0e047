package relay

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 20)

// metrics records the number and latency of requests by route and outcome.
type metrics struct {
	scope tally.Scope
	// mu guards byKey.
	mu    sync.Mutex
	byKey map[metricKey]routeMetrics
}

type metricKey struct {
	route   string
	outcome string
}

type routeMetrics struct {
	requests tally.Counter
	latency  tally.Histogram
	attempts tally.Counter
	missing  tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope, byKey: map[metricKey]routeMetrics{}}
}

func (m *metrics) record(q *query, err error, took time.Duration) {
	key := metricKey{route: "none", outcome: "ok"}
	attempts, missing := 0, 0
	if q != nil {
		key.route = q.request.route.Name
		for _, c := range q.calls {
			attempts += len(c.attempts)
		}
		missing = q.total - q.answered
		if q.delegated != nil {
			missing = q.delegated.Missing
		}
	}
	if err != nil {
		key.outcome = kind.Of(err).String()
	}
	r := m.forKey(key)
	r.requests.Inc(1)
	r.latency.RecordDuration(took)
	r.attempts.Inc(int64(attempts))
	r.missing.Inc(int64(missing))
}

func (m *metrics) forKey(key metricKey) routeMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, found := m.byKey[key]
	if !found {
		s := m.scope.Tagged(map[string]string{"route": key.route, "outcome": key.outcome})
		r = routeMetrics{
			requests: s.Counter("requests"), latency: s.Histogram("request_latency", latencyBuckets),
			attempts: s.Counter("leaf_calls"), missing: s.Counter("missing_parts"),
		}
		m.byKey[key] = r
	}
	return r
}
