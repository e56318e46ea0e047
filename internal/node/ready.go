package node

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
)

const (
	sharesPollInterval = 20 * time.Millisecond
	// sharesSlack is added to the longest deadline to give the time after which a
	// node that does not hold all its shares becomes ready anyway, to serve as an
	// entry.
	sharesSlack = 5 * time.Second
)

// becomeReady marks the node ready once its document and host list are known to be
// current and it holds its shares, or has waited for them long enough.
func (n *Node) becomeReady(ctx context.Context) error {
	for _, confirmed := range []chan struct{}{n.configReady, n.hostsReady} {
		select {
		case <-confirmed:
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
	timeout := time.NewTimer(n.longestDeadline() + sharesSlack)
	defer timeout.Stop()
	ticker := time.NewTicker(sharesPollInterval)
	defer ticker.Stop()
	for {
		if s := n.permits.Status(); s.Attached && s.Held == s.Owned {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timeout.C:
			return false
		case <-ticker.C:
		}
	}
}

// longestDeadline returns the longest deadline of the services in force. Shares
// can't be used until all calls of an earlier process must have ended.
func (n *Node) longestDeadline() time.Duration {
	var longest time.Duration
	for _, service := range n.table.Index().Services() {
		longest = max(longest, service.Policy.Deadline())
	}
	return longest
}
