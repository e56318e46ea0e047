package demo

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/node"
	"github.com/redwingshelf/redwingshelf/internal/settings"
)

// registryMu guards the process-wide registry while newNode replaces it.
var registryMu sync.Mutex

// newNode creates a node with its own metrics registry. A node registers its metrics
// with the process-wide registry, which can't hold those of several nodes.
func newNode(s *settings.Settings, logger *zap.Logger) (*node.Node, error) {
	registryMu.Lock()
	defer registryMu.Unlock()
	registerer, gatherer := prometheus.DefaultRegisterer, prometheus.DefaultGatherer
	defer func() { prometheus.DefaultRegisterer, prometheus.DefaultGatherer = registerer, gatherer }()
	own := prometheus.NewRegistry()
	prometheus.DefaultRegisterer, prometheus.DefaultGatherer = own, own
	return node.New(s, logger)
}
