package relaynode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// crashBatchDelay is the time for which updates of crash records are collected into
	// one message. Most contents are cleared within it and need no message.
	crashBatchDelay = 50 * time.Millisecond
	// crashSendTimeout bounds one exchange of crash records with a node, and
	// crashSendAttempts is the number of attempts to send updates to a node. Together they
	// stay within the 4 s for which the platform allows nodes to differ.
	crashSendTimeout  = time.Second
	crashSendAttempts = 3
	// maxConcurrentSends bounds the nodes that one broadcast sends to at the same time,
	// and maxConcurrentBroadcasts the broadcasts in flight.
	maxConcurrentSends      = 32
	maxConcurrentBroadcasts = 16
	// maxSyncPeers is the maximum number of nodes whose crash records are fetched at once.
	maxSyncPeers = 3
	// joinedQueueSize bounds the groups of joined nodes that wait for a fetch.
	joinedQueueSize = 8
	// reachTimeout is the time within which a live peer accepts a request, even on
	// another host that is busy.
	reachTimeout = 50 * time.Millisecond
	// initialSyncTimeout bounds the time for which a starting node waits for the crash
	// records of its peers.
	initialSyncTimeout = 200 * time.Millisecond
)

// crashRequest sends crash records to a node, and may request records or a trial.
type crashRequest struct {
	Records []quarantine.CrashRecord
	// Fetch is set to request the crash records of the node.
	Fetch bool
	// Trial is a quarantined content for which a trial is requested, that is, for which
	// the sender asks to send it once.
	Trial *quarantine.Fingerprint
}

// crashReply is the reply to a crashRequest.
type crashReply struct {
	Records []quarantine.CrashRecord
	// Corrections correct records of the request.
	Corrections []quarantine.CrashRecord
	// Reach is how far back the crash records of the node reach, if they were requested.
	Reach   quarantine.Reach
	Granted bool
}

// publishCrashes wakes up runCrashPublisher. It does not block.
func (n *Node) publishCrashes() {
	select {
	case n.crashUpdates <- struct{}{}:
	default:
	}
}

// handleCrashes serves a crashRequest.
func (n *Node) handleCrashes(req *crashRequest) *crashReply {
	reply := &crashReply{Corrections: n.handler.MergeCrashes(req.Records)}
	if req.Fetch {
		reply.Records, reply.Reach = n.handler.Crashes(), n.handler.CrashReach()
	}
	if req.Trial != nil {
		reply.Granted = n.handler.GrantTrial(*req.Trial)
	}
	return reply
}

// errNotMember is returned for a request to a node that is not a live member.
var errNotMember = errors.New("node is not a live member")

// requestTrial asks a node whether a quarantined content may be sent once.
func (n *Node) requestTrial(ctx context.Context, node string, f quarantine.Fingerprint) (bool, error) {
	members, _, _ := n.sharing.get()
	for _, m := range members {
		if m.Name == node {
			reply := new(crashReply)
			err := n.peerPool.Ask(ctx, m.Address, wire.TypeCrashes, &crashRequest{Trial: &f}, reply)
			return reply.Granted, err
		}
	}
	return false, errNotMember
}

// runCrashPublisher sends updates of crash records to the live nodes until ctx ends.
func (n *Node) runCrashPublisher(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentBroadcasts)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-n.crashUpdates:
		}
		if periodic.Sleep(ctx, crashBatchDelay) != nil {
			return group.Wait()
		}
		for updates := n.handler.CrashUpdates(); len(updates) > 0; updates = n.handler.CrashUpdates() {
			group.Go(func() error { n.broadcastCrashes(ctx, updates); return nil })
		}
	}
}

// broadcastCrashes sends crash records to all live nodes. It retries a node that does not
// answer in time. A node that is unavailable for longer fetches crash records when it is back.
func (n *Node) broadcastCrashes(ctx context.Context, updates []quarantine.CrashRecord) {
	alivePeers := n.alivePeers.Load()
	if alivePeers == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentSends)
	var missed atomic.Int64
	for _, address := range *alivePeers {
		group.Go(func() error {
			for range crashSendAttempts {
				if err := n.sendCrashes(ctx, address, &crashRequest{Records: updates}); err == nil || ctx.Err() != nil {
					return nil
				}
			}
			missed.Add(1)
			return nil
		})
	}
	_ = group.Wait()
	n.logger.Info("crash records sent to live nodes", zap.Int("contents", len(updates)),
		zap.Int("nodes", len(*alivePeers)), zap.Int64("missed", missed.Load()))
}

// sendCrashes sends a crashRequest to a node and merges the crash records in its reply.
func (n *Node) sendCrashes(ctx context.Context, address string, req *crashRequest) error {
	ctx, cancel := context.WithTimeout(ctx, crashSendTimeout)
	defer cancel()
	reply := new(crashReply)
	if err := n.peerPool.Ask(ctx, address, wire.TypeCrashes, req, reply); err != nil {
		return err
	}
	n.handler.MergeCrashes(reply.Records)
	n.handler.MergeCorrections(reply.Corrections)
	if req.Fetch {
		n.handler.ExtendCrashReach(reply.Reach)
	}
	return nil
}

// syncCrashes calls fetch for some of the addresses, chosen at random. It returns once one
// call has succeeded or all have failed. asked is the number of calls.
func (n *Node) syncCrashes(ctx context.Context, addresses []string, fetch func(context.Context, string) error) (asked int, err error) {
	addresses = slices.Clone(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxSyncPeers)]
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- fetch(ctx, address) }()
	}
	for range addresses {
		if err = <-results; err == nil {
			break
		}
	}
	return len(addresses), err
}

// fetchCrashes fetches and merges the crash records of a node.
func (n *Node) fetchCrashes(ctx context.Context, address string) error {
	return n.sendCrashes(ctx, address, &crashRequest{Fetch: true})
}

// fetchReachable is like fetchCrashes, but gives up early on a node that can't be reached:
// after a power failure the hosts of some seeds may be down.
func (n *Node) fetchReachable(ctx context.Context, address string) error {
	reachCtx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	err := n.fetchCrashes(reachCtx, address)
	if err == nil || errors.Is(err, peer.ErrNotSent) {
		return err
	}
	return n.fetchCrashes(ctx, address)
}

// syncCrashesAtStart fetches the crash records of peers before the node accepts requests.
// The node also starts if no peer answers in time.
func (n *Node) syncCrashesAtStart(ctx context.Context) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, initialSyncTimeout)
	defer cancel()
	asked, err := n.syncCrashes(ctx, otherAddresses(n.settings.Seeds, n.settings.PeerListen), n.fetchReachable)
	reach := n.handler.CrashReach()
	n.logger.Info("crash records requested from seeds", zap.Int("asked", asked), zap.Duration("after", time.Since(begin)),
		zap.Duration("reach", reach.Since), zap.Bool("after_loss", reach.AfterLoss), zap.Error(err))
	n.markCrashesSynced()
}

// markCrashesSynced allows the node to become ready.
func (n *Node) markCrashesSynced() {
	if !n.crashesSynced.Swap(true) {
		n.catalogChanged()
	}
}

// runJoinedSync fetches the crash records of nodes that have joined or come back, until ctx
// ends.
func (n *Node) runJoinedSync(ctx context.Context) {
	for {
		var joined []string
		select {
		case <-ctx.Done():
			return
		case joined = <-n.joined:
		}
		asked, err := n.syncCrashes(ctx, joined, n.fetchCrashes)
		if err == nil {
			n.markCrashesSynced()
		} else if ctx.Err() == nil {
			n.logger.Info("crash records of joined nodes can't be fetched",
				zap.Int("asked", asked), zap.Error(err))
		}
	}
}

// setAlivePeers sets the addresses of the live nodes and queues the new ones for
// runJoinedSync.
func (n *Node) setAlivePeers(alivePeers []string) {
	before := n.alivePeers.Swap(&alivePeers)
	joined := slices.Clone(alivePeers)
	if before != nil {
		joined = slices.DeleteFunc(joined, func(a string) bool { return slices.Contains(*before, a) })
	}
	if len(joined) == 0 {
		return
	}
	select {
	case n.joined <- joined:
	default:
		n.logger.Info("too many joins at once, crash records of joined nodes are not fetched", zap.Int("nodes", len(joined)))
	}
}
