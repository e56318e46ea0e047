package node

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
)

const (
	readyInterval = 20 * time.Millisecond
	// sharesSlack is the time past the longest call of an earlier process after
	// which a node without shares serves as an entry all the same.
	sharesSlack = 5 * time.Second
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
	debug.FreeOSMemory()
	n.logger.Info("node ready", zap.Bool("shares", held))
	return nil
}

func (n *Node) awaitShares(ctx context.Context) bool {
	bound := time.NewTimer(n.longestDeadline() + sharesSlack)
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

// longestDeadline returns the longest deadline of the services in force. Shares
// can't be used before calls of an earlier process must have ended.
func (n *Node) longestDeadline() time.Duration {
	var longest time.Duration
	for _, service := range n.table.Index().Services() {
		longest = max(longest, service.Policy.Deadline())
	}
	return longest
}
