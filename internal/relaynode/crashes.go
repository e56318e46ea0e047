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
	// tellDelay is the time for which news of contents is gathered into one message.
	// Most contents are acquitted within it, and need no message.
	tellDelay = 50 * time.Millisecond
	// tellWithin bounds one message, and tellTries the messages to a node that does not
	// answer. Together they stay within the 4 s for which the platform lets nodes differ.
	tellWithin = time.Second
	tellTries  = 3
	// tellAtOnce bounds the nodes that are told at the same moment, and tellsAtOnce the
	// news that are on their way.
	tellAtOnce  = 32
	tellsAtOnce = 16
	// askedNodes is the number of nodes that are asked for what they know.
	askedNodes = 3
	// joinedQueue bounds the groups of nodes that wait to be asked.
	joinedQueue = 8
	// reachWithin is the time in which a peer that lives takes a question, also on another
	// host that is busy.
	reachWithin = 50 * time.Millisecond
	// learnWithin bounds the time for which a starting node waits for what its peers
	// know of contents that crash leaves.
	learnWithin = 200 * time.Millisecond
)

// crashNotes tells a node of contents under which leaves have ended.
type crashNotes struct {
	Evidence []quarantine.CrashRecord
	// Ask asks for what the node knows.
	Ask bool
	// Trial asks if a refused content may be sent once.
	Trial *quarantine.Fingerprint
}

// crashReply is the reply to crashNotes.
type crashReply struct {
	Evidence []quarantine.CrashRecord
	Granted  bool
}

// tellCrashes lets runCrashes tell the news.
func (n *Node) tellCrashes() {
	select {
	case n.crashNews <- struct{}{}:
	default:
	}
}

// takeCrashes serves crashNotes.
func (n *Node) takeCrashes(notes *crashNotes) *crashReply {
	n.handler.MergeCrashes(notes.Evidence)
	reply := new(crashReply)
	if notes.Ask {
		reply.Evidence = n.handler.Crashes()
	}
	if notes.Trial != nil {
		reply.Granted = n.handler.GrantTrial(*notes.Trial)
	}
	return reply
}

// errNotMember is the cause of a question to a node that is not a live member.
var errNotMember = errors.New("the node is not a member")

// askTrial asks a node if a refused content may be sent once.
func (n *Node) askTrial(ctx context.Context, node string, f quarantine.Fingerprint) (bool, error) {
	members, _ := n.sharing.get()
	for _, m := range members {
		if m.Name == node {
			reply := new(crashReply)
			err := n.pool.Ask(ctx, m.Address, wire.TypeCrashes, &crashNotes{Trial: &f}, reply)
			return reply.Granted, err
		}
	}
	return false, errNotMember
}

// runCrashes tells the live nodes of contents under which leaves have ended.
func (n *Node) runCrashes(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(tellsAtOnce)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-n.crashNews:
		}
		if periodic.Sleep(ctx, tellDelay) != nil {
			return group.Wait()
		}
		for news := n.handler.CrashUpdates(); len(news) > 0; news = n.handler.CrashUpdates() {
			group.Go(func() error { n.tell(ctx, news); return nil })
		}
	}
}

// tell sends news to all live nodes. A node that does not answer in time is told again; one
// that is away for longer asks when it is back.
func (n *Node) tell(ctx context.Context, news []quarantine.CrashRecord) {
	alive := n.alive.Load()
	if alive == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(tellAtOnce)
	var missed atomic.Int64
	for _, address := range *alive {
		group.Go(func() error {
			for range tellTries {
				if err := n.askCrashes(ctx, address, &crashNotes{Evidence: news}); err == nil || ctx.Err() != nil {
					return nil
				}
			}
			missed.Add(1)
			return nil
		})
	}
	_ = group.Wait()
	n.logger.Info("nodes told of contents that leaves ended under", zap.Int("contents", len(news)),
		zap.Int("nodes", len(*alive)), zap.Int64("missed", missed.Load()))
}

// askCrashes sends notes to a node and takes its reply.
func (n *Node) askCrashes(ctx context.Context, address string, notes *crashNotes) error {
	ctx, cancel := context.WithTimeout(ctx, tellWithin)
	defer cancel()
	reply := new(crashReply)
	if err := n.pool.Ask(ctx, address, wire.TypeCrashes, notes, reply); err != nil {
		return err
	}
	n.handler.MergeCrashes(reply.Evidence)
	return nil
}

// learnCrashes asks some of the nodes at addresses for what they know. It returns once one
// has answered or all have failed, and the number of nodes that were asked.
func (n *Node) learnCrashes(ctx context.Context, addresses []string, ask func(context.Context, string) error) (asked int, err error) {
	addresses = slices.Clone(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), askedNodes)]
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- ask(ctx, address) }()
	}
	for range addresses {
		if err = <-results; err == nil {
			break
		}
	}
	return len(addresses), err
}

// askKnown asks a node for what it knows.
func (n *Node) askKnown(ctx context.Context, address string) error {
	return n.askCrashes(ctx, address, &crashNotes{Ask: true})
}

// askReachable does the same, but waits only shortly for a node that can't be reached. After
// a loss of power the hosts of some seeds may be away.
func (n *Node) askReachable(ctx context.Context, address string) error {
	shortly, cancel := context.WithTimeout(ctx, reachWithin)
	defer cancel()
	err := n.askKnown(shortly, address)
	if err == nil || errors.Is(err, peer.ErrNotSent) {
		return err
	}
	return n.askKnown(ctx, address)
}

// learnAtStart asks peers for what they know of contents that crash leaves, before the node
// takes requests. Without an answer the node starts all the same.
func (n *Node) learnAtStart(ctx context.Context) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, learnWithin)
	defer cancel()
	asked, err := n.learnCrashes(ctx, otherAddresses(n.settings.Seeds, n.settings.PeerListen), n.askReachable)
	n.logger.Info("peers asked for contents that crash leaves", zap.Int("asked", asked),
		zap.Duration("after", time.Since(begin)), zap.Error(err))
	n.setLearned()
}

// setLearned lets the node take requests.
func (n *Node) setLearned() {
	if !n.learned.Swap(true) {
		n.catalogChanged()
	}
}

// runJoined asks nodes that have joined or are back for what they know.
func (n *Node) runJoined(ctx context.Context) {
	for {
		var joined []string
		select {
		case <-ctx.Done():
			return
		case joined = <-n.joined:
		}
		asked, err := n.learnCrashes(ctx, joined, n.askKnown)
		if err == nil {
			n.setLearned()
		} else if ctx.Err() == nil {
			n.logger.Info("nodes that joined don't tell what they know of contents that crash leaves",
				zap.Int("asked", asked), zap.Error(err))
		}
	}
}

// noteAlive takes the addresses of the live nodes.
func (n *Node) noteAlive(alive []string) {
	before := n.alive.Swap(&alive)
	joined := slices.Clone(alive)
	if before != nil {
		joined = slices.DeleteFunc(joined, func(a string) bool { return slices.Contains(*before, a) })
	}
	if len(joined) == 0 {
		return
	}
	select {
	case n.joined <- joined:
	default:
		n.logger.Info("nodes that joined are not asked, too many at once", zap.Int("nodes", len(joined)))
	}
}
