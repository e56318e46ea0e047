package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	readyInterval = 20 * time.Millisecond
	// sharesBound is the time after which a node without shares serves as an
	// entry all the same.
	sharesBound = 5 * time.Second
)

// becomeReady makes the node ready once its document and host list are known to
// be current and it holds its shares.
func (n *Node) becomeReady(ctx context.Context) error {
	for _, known := range []chan struct{}{n.configReady, n.hostsReady} {
		select {
		case <-known:
		case <-ctx.Done():
			return nil
		}
	}
	n.screen.Fetch(ctx)
	held := n.awaitShares(ctx)
	if ctx.Err() != nil {
		return nil
	}
	n.ready.Store(true)
	n.announce()
	n.logger.Info("node ready", zap.Bool("shares", held))
	return nil
}

func (n *Node) awaitShares(ctx context.Context) bool {
	bound := time.NewTimer(sharesBound)
	defer bound.Stop()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		if s := n.permits.Status(); s.Attached && s.Held == s.Owned {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-bound.C:
			return false
		case <-ticker.C:
		}
	}
}
