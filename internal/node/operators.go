package node

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/redwingshelf/redwingshelf/internal/callerconn"
	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/status"
)

const metricsInterval = time.Second

func newScope(s *settings.Settings) (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "redwingshelf",
		Tags:           map[string]string{"host": s.Name, "data_centre": s.DataCentre},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}

func (n *Node) newOperatorServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", n.handleReady)
	mux.HandleFunc("GET /status", n.handleStatus)
	mux.Handle("GET /metrics", n.metrics)
	return callerconn.OperatorServer(mux)
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() || n.stopping.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.Status())
}

// Status returns the status of the node for operators.
func (n *Node) Status() *status.Node {
	config := n.config.State()
	shares := n.permits.Status()
	s := &status.Node{
		Name:        n.settings.Name,
		DataCentre:  n.settings.DataCentre,
		Incarnation: n.incarnation,
		Revision:    config.Identity.Revision,
		Digest:      config.Identity.Digest,
		State:       n.stateName(),
		SharesHeld:  shares.Held,
		Taken:       shares.Taken,
		Leaves:      map[string]int{},
		Members:     n.fleet.Counts(),
	}
	if !config.AcceptedAt.IsZero() {
		s.AcceptedAgeMS = time.Since(config.AcceptedAt).Milliseconds()
	}
	for _, l := range n.holder.Status() {
		s.Leaves[l.State]++
	}
	return s
}

func (n *Node) stateName() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.ready.Load():
		return "ready"
	default:
		return "starting"
	}
}
