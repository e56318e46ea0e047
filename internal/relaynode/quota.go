package relaynode

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/bootclock"
	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/quota"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// secondAskDelay is how long a grantor may take to answer before the other one is asked too. A
	// grantor in another data centre answers within a few milliseconds.
	secondAskDelay = 8 * time.Millisecond
	// askTimeout bounds the time to ask for a credit.
	askTimeout = 100 * time.Millisecond
	// unresponsiveTime is how long a grantor that has not answered is asked last.
	unresponsiveTime = 500 * time.Millisecond
	// maxDenialTime bounds how long a denial is remembered, since credits may be returned.
	maxDenialTime = 200 * time.Millisecond
	// maxDenials bounds the denials that are remembered.
	maxDenials = 4096
	// earlyAllotInterval is the time between the first allotments, while nodes still learn which of
	// them grant credits. maxAllotJitter spreads those of nodes that start together.
	earlyAllotInterval = 200 * time.Millisecond
	maxAllotJitter     = 100 * time.Millisecond
	// burstSlackRatio is the fraction of QuotaSlack by which the burst of each limit is enlarged.
	// The rest covers overdrawn buckets and changes of the fleet.
	burstSlackRatio = 0.4
)

// errNoGrantor is returned if no grantor of a tenant has answered.
var errNoGrantor = errors.New("no node that grants credits has answered")

// creditRequest asks a grantor for a credit for one request of a tenant.
type creditRequest struct {
	Tenant string
}

// creditReply is the reply to a creditRequest. If Granted is not set, there will be credit after
// Wait.
type creditReply struct {
	Granted bool
	ID      uint64
	Wait    time.Duration
	// Unknown is set if the grantor does not know the tenant's limit.
	Unknown bool
}

// creditReturn returns a credit to its grantor.
type creditReturn struct {
	ID uint64
}

// quotas keeps the limits of tenants together with the other nodes. It implements relay.Quotas.
type quotas struct {
	node    *Node
	metrics quotaMetrics
	hosts   atomic.Int64
	// ringMu guards nodes, the live nodes, and their ring, which is nil until it is needed.
	ringMu sync.Mutex
	nodes  []quota.Node
	ring   *quota.Ring
	// potMu guards pot, the credit that this node grants.
	potMu sync.Mutex
	pot   *quota.Pot
	// mu guards the fields below, which hold when a denial ends and when a grantor that has not
	// answered is asked first again.
	mu           sync.Mutex
	deniedUntil  map[denial]time.Time
	unresponsive map[string]time.Time
}

// denial identifies the denials of one grantor to one tenant.
type denial struct{ tenant, grantor string }

type quotaMetrics struct {
	granted, denied, returned, unanswered, allotments tally.Counter
	ask                                               tally.Histogram
}

func newQuotas(n *Node) *quotas {
	scope := n.scope.SubScope("quota")
	q := &quotas{
		node: n, pot: quota.NewPot(bootclock.Now()), deniedUntil: map[denial]time.Time{}, unresponsive: map[string]time.Time{},
		metrics: quotaMetrics{
			granted: scope.Counter("granted"), denied: scope.Counter("denied"), returned: scope.Counter("returned"),
			unanswered: scope.Counter("unanswered"), allotments: scope.Counter("allotments"),
			ask: scope.Histogram("ask_latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 8)),
		},
	}
	q.setMembers(nil)
	return q
}

// setMembers sets the other members, dead ones included.
func (q *quotas) setMembers(members []member.Member) {
	self := q.node.selfMember()
	hosts := map[string]string{hostOf(self.Name): self.DataCentre}
	nodes := []quota.Node{quotaNode(&self)}
	for i := range members {
		m := &members[i]
		hosts[hostOf(m.Name)] = m.DataCentre
		if m.State == member.Alive {
			nodes = append(nodes, quotaNode(m))
		}
	}
	byDataCentre := map[string]int{}
	for _, dataCentre := range hosts {
		byDataCentre[dataCentre]++
	}
	alone := len(hosts) == 1 && len(otherAddresses(q.node.settings.Seeds, q.node.settings.PeerListen)) > 0
	q.hosts.Store(int64(quota.Hosts(byDataCentre, q.node.settings.DataCentres, alone)))
	q.ringMu.Lock()
	defer q.ringMu.Unlock()
	q.nodes, q.ring = nodes, nil
}

// currentRing returns the ring of the live nodes.
func (q *quotas) currentRing() *quota.Ring {
	q.ringMu.Lock()
	defer q.ringMu.Unlock()
	if q.ring == nil {
		q.ring = quota.NewRing(q.nodes)
	}
	return q.ring
}

func quotaNode(m *member.Member) quota.Node {
	return quota.Node{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, Capacity: m.Record.Capacity}
}

// hostOf returns the name of the host in the name of a process.
func hostOf(process string) string {
	host, _, _ := strings.Cut(process, "/")
	return host
}

// run sends the node's allotments until ctx ends. The first ones are sent while peers are still being
// discovered, so that there is credit soon after all nodes have started.
func (q *quotas) run(ctx context.Context) {
	start := bootclock.Now()
	allotter := quota.NewAllotter(q.node.process, start)
	for wait := peerDiscoveryTime / 2; bootclock.Now()-start < 2*peerDiscoveryTime; wait = earlyAllotInterval {
		if periodic.Sleep(ctx, wait+time.Duration(rand.Int64N(int64(maxAllotJitter)))) != nil {
			return
		}
		q.allot(allotter, start)
	}
	periodic.Run(ctx, quota.AllotInterval, func() { q.allot(allotter, start) })
}

// allot hands over what the node's share has earned.
func (q *quotas) allot(allotter *quota.Allotter, start time.Duration) {
	now := bootclock.Now()
	if !q.needed() {
		allotter.Skip(now)
		return
	}
	for _, a := range allotter.Allot(now, q.currentRing(), quota.AssumedHosts(int(q.hosts.Load()), now-start)) {
		q.metrics.allotments.Inc(1)
		if a.To == q.node.settings.PeerListen {
			q.add(&a.Allotment)
			continue
		}
		q.node.peerPool.Send(a.To, wire.TypeAllotment, &a.Allotment)
	}
}

// needed reports whether a tenant's requests are limited.
func (q *quotas) needed() bool {
	newest := q.node.catalog.View().Newest
	return newest != nil && newest.HasLimits()
}

// add adds an allotment of a node to the credit that this node grants.
func (q *quotas) add(a *quota.Allotment) {
	q.potMu.Lock()
	defer q.potMu.Unlock()
	q.pot.Add(bootclock.Now(), a)
}

// grant serves a creditRequest.
func (q *quotas) grant(req *creditRequest) *creditReply {
	newest := q.node.catalog.View().Newest
	if newest == nil {
		return &creditReply{Unknown: true}
	}
	t := newest.Tenant(req.Tenant)
	if t == nil {
		return &creditReply{Unknown: true}
	}
	limit := quota.Limit{Tenant: t.Name, Rate: t.RatePerSecond, Burst: t.Burst + burstSlackRatio*q.node.settings.QuotaSlack}
	q.potMu.Lock()
	defer q.potMu.Unlock()
	id, wait, ok := q.pot.Grant(bootclock.Now(), limit)
	return &creditReply{Granted: ok, ID: id, Wait: wait}
}

// giveBack serves a creditReturn.
func (q *quotas) giveBack(r *creditReturn) {
	q.potMu.Lock()
	defer q.potMu.Unlock()
	q.pot.Return(bootclock.Now(), r.ID)
}

// Return implements relay.Quotas.
func (q *quotas) Return(c *relay.Credit) {
	q.metrics.returned.Inc(1)
	r := &creditReturn{ID: c.ID}
	if c.Grantor == q.node.settings.PeerListen {
		q.giveBack(r)
		return
	}
	q.node.peerPool.Send(c.Grantor, wire.TypeCreditReturn, r)
}

// asked is the answer of one grantor.
type asked struct {
	grantor string
	reply   *creditReply
	err     error
}

// Take implements relay.Quotas. It asks the grantors of the tenant one after the other, or together
// if the first one is slow.
func (q *quotas) Take(ctx context.Context, t *catalog.Tenant) (*relay.Credit, time.Duration, error) {
	begin := time.Now()
	toAsk, wait := q.order(t.Name, begin)
	if len(toAsk) == 0 {
		q.metrics.denied.Inc(1)
		return nil, wait, nil
	}
	defer func() { q.metrics.ask.RecordDuration(time.Since(begin)) }()
	// An answer that is still to come after the first credit returns its own credit.
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	answers := make(chan asked, len(toAsk))
	next, pending := 0, 0
	askNext := func() {
		if next < len(toAsk) {
			go q.ask(askCtx, t.Name, toAsk[next], answers)
			next++
			pending++
		}
	}
	askNext()
	timer := time.NewTimer(secondAskDelay)
	defer timer.Stop()
	for pending > 0 {
		select {
		case <-timer.C:
			askNext()
		case a := <-answers:
			pending--
			if a.err == nil && a.reply.Granted {
				q.metrics.granted.Inc(1)
				go q.returnExtra(answers, pending, cancel)
				return &relay.Credit{Tenant: t.Name, Grantor: a.grantor, ID: a.reply.ID}, 0, nil
			}
			if d := q.note(t.Name, &a); d > 0 && (wait == 0 || d < wait) {
				wait = d
			}
			askNext()
		}
	}
	cancel()
	if wait == 0 {
		q.metrics.unanswered.Inc(1)
		return nil, 0, errNoGrantor
	}
	q.metrics.denied.Inc(1)
	return nil, wait, nil
}

// order returns the grantors to ask, best first, and the shortest time until one of those that have
// denied credits has some.
func (q *quotas) order(tenant string, now time.Time) (toAsk []string, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var far, late []string
	for _, g := range q.currentRing().Grantors(tenant) {
		if left := q.deniedUntil[denial{tenant, g.Address}].Sub(now); left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		switch {
		case now.Before(q.unresponsive[g.Address]):
			late = append(late, g.Address)
		case g.DataCentre == q.node.settings.DataCentre:
			toAsk = append(toAsk, g.Address)
		default:
			far = append(far, g.Address)
		}
	}
	if len(toAsk) == 0 {
		rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	}
	return append(append(toAsk, far...), late...), wait
}

// ask asks one grantor.
func (q *quotas) ask(ctx context.Context, tenant, grantor string, answers chan<- asked) {
	req := &creditRequest{Tenant: tenant}
	if grantor == q.node.settings.PeerListen {
		answers <- asked{grantor: grantor, reply: q.grant(req)}
		return
	}
	reply := new(creditReply)
	err := q.node.peerPool.Ask(ctx, grantor, wire.TypeCredit, req, reply)
	answers <- asked{grantor: grantor, reply: reply, err: err}
}

// returnExtra returns the credits of the answers that are still to come, and then calls done.
func (q *quotas) returnExtra(answers <-chan asked, pending int, done func()) {
	defer done()
	for range pending {
		if a := <-answers; a.err == nil && a.reply.Granted {
			q.Return(&relay.Credit{Grantor: a.grantor, ID: a.reply.ID})
		}
	}
}

// note records an answer that grants nothing, and returns the time after which the grantor will have
// credit; zero if it is unknown.
func (q *quotas) note(tenant string, a *asked) time.Duration {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.err != nil {
		q.unresponsive[a.grantor] = now.Add(unresponsiveTime)
		q.node.logger.Debug("grantor has not answered", zap.String("grantor", a.grantor), zap.Error(a.err))
		return 0
	}
	if a.reply.Unknown {
		return 0
	}
	if len(q.deniedUntil) >= maxDenials {
		clear(q.deniedUntil)
	}
	wait := max(a.reply.Wait, time.Millisecond)
	q.deniedUntil[denial{tenant, a.grantor}] = now.Add(min(wait, maxDenialTime))
	return wait
}
