package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds that the model checks, as the users' large sites set them.
const (
	window      = 5 * time.Second
	overage     = 0.25
	slack       = 20
	burstSlack  = 0.4 * slack
	modelStep   = 50 * time.Millisecond
	modelLength = 60 * time.Second
	firstAllot  = 500 * time.Millisecond
	earlyAllot  = 250 * time.Millisecond
)

// brokenness selects a protocol that is broken on purpose.
type brokenness int

const (
	intact brokenness = iota
	// doubledAllotments accepts an allotment as often as it arrives.
	doubledAllotments
	// sharesOfLiveHosts divides the limits by the live hosts only.
	sharesOfLiveHosts
	// doubledReturns pays a returned credit back whenever the message arrives.
	doubledReturns
)

// modelProcess is one process of a host, with its own clock.
type modelProcess struct {
	name, host, dataCentre string
	group                  int
	started                time.Duration
	skew                   time.Duration
	pausedUntil            time.Duration
	nextAllot              time.Duration
	allotter               *Allotter
	pot                    *Pot
	// known are the hosts that the process has heard of, with their data centres.
	known map[string]string
	// alive is its view of the live processes, which lags.
	alive []*modelProcess
	ring  *Ring
	names []string
}

type modelMessage struct {
	at        time.Duration
	to        *modelProcess
	allotment *Allotment
	returned  uint64
}

// model is a fleet whose links lose, delay, double and reorder messages, and whose nodes are cut
// off, paused, killed, restarted and added. A tenant sends as many requests as it gets credits for.
type model struct {
	broken      brokenness
	rng         *rand.Rand
	now         time.Duration
	dataCentres int
	processes   []*modelProcess
	messages    []modelMessage
	limit       Limit
	lowered     time.Duration
	ran         []time.Duration
	starts      int
	// faultEvery is the longest time between two faults of nodes.
	faultEvery time.Duration
	// calm is set for links and callers without faults.
	calm bool
	// sole is set for a fleet that consists of one host.
	sole bool
}

func newModel(seed uint64, broken brokenness) *model {
	m := &model{broken: broken, rng: rand.New(rand.NewPCG(seed, 1)), dataCentres: 1 + int(seed%3)}
	m.limit = Limit{Tenant: "t", Rate: []float64{1, 5, 21}[seed%3], Burst: 21}
	if seed%2 == 0 {
		m.limit.Burst = m.limit.Rate
	}
	m.faultEvery = []time.Duration{4 * time.Second, 15 * time.Second, time.Hour}[m.rng.IntN(3)]
	for i := range 3 + m.rng.IntN(10) {
		m.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("dc-%d", i%m.dataCentres), 0)
	}
	return m
}

func (m *model) start(host, dataCentre string, group int) {
	m.starts++
	p := &modelProcess{
		name: fmt.Sprintf("%s/%d", host, m.starts), host: host, ring: NewRing(nil), dataCentre: dataCentre, group: group, started: m.now,
		skew: time.Duration(m.rng.Int64N(int64(time.Hour))), known: map[string]string{host: dataCentre},
	}
	p.allotter, p.pot = NewAllotter(p.name, p.clock(m.now)), NewPot(p.clock(m.now))
	p.nextAllot = m.now + firstAllot + time.Duration(m.rng.Int64N(int64(100*time.Millisecond)))
	m.processes = append(m.processes, p)
}

func (p *modelProcess) clock(now time.Duration) time.Duration { return now + p.skew }

// reachable reports whether messages pass between two processes.
func (m *model) reachable(a, b *modelProcess) bool { return a.group == b.group }

// updateViews lets processes hear from each other, some of them late.
func (m *model) updateViews() {
	for _, p := range m.processes {
		if m.now < p.pausedUntil || m.rng.IntN(10) > 0 {
			continue
		}
		p.alive = p.alive[:0]
		for _, other := range m.processes {
			if !m.reachable(p, other) || m.now < other.pausedUntil {
				continue
			}
			p.alive = append(p.alive, other)
			for host, dataCentre := range other.known {
				p.known[host] = dataCentre
			}
		}
		var nodes []Node
		for _, a := range p.alive {
			nodes = append(nodes, Node{Name: a.name, Address: a.name, DataCentre: a.dataCentre, Capacity: 80})
		}
		if names := nodeNames(nodes); !slices.Equal(names, p.names) {
			p.ring, p.names = NewRing(nodes), names
		}
	}
}

func nodeNames(nodes []Node) (names []string) {
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return names
}

func (m *model) hosts(p *modelProcess) int {
	hosts := p.known
	if m.broken == sharesOfLiveHosts {
		hosts = map[string]string{}
		for _, a := range p.alive {
			hosts[a.host] = a.dataCentre
		}
	}
	byDataCentre := map[string]int{}
	for _, dataCentre := range hosts {
		byDataCentre[dataCentre]++
	}
	if m.broken == sharesOfLiveHosts {
		return len(hosts)
	}
	return Hosts(byDataCentre, m.dataCentres, len(hosts) == 1 && !m.sole)
}

func (m *model) process(name string) *modelProcess {
	if i := slices.IndexFunc(m.processes, func(p *modelProcess) bool { return p.name == name }); i >= 0 {
		return m.processes[i]
	}
	return nil
}

// send sends a message over a bad link.
func (m *model) send(from, to *modelProcess, message modelMessage) {
	if to == nil || !m.reachable(from, to) || !m.calm && m.rng.IntN(10) == 0 {
		return
	}
	message.to = to
	if m.calm {
		message.at = m.now + time.Millisecond
		m.messages = append(m.messages, message)
		return
	}
	copies := 1
	if m.rng.IntN(2) == 0 {
		copies += m.rng.IntN(6)
	}
	for range copies {
		message.at = m.now + time.Duration(m.rng.Int64N(int64(20*time.Millisecond)))
		if m.rng.IntN(10) == 0 {
			message.at += time.Duration(m.rng.Int64N(int64(4 * time.Second)))
		}
		m.messages = append(m.messages, message)
	}
}

func (m *model) allot(p *modelProcess) {
	if m.now < p.nextAllot || m.now < p.pausedUntil {
		return
	}
	age := m.now - p.started
	p.nextAllot = m.now + AllotInterval
	if age < 2*AllotInterval {
		p.nextAllot = m.now + earlyAllot
	}
	for _, a := range p.allotter.Allot(p.clock(m.now), p.ring, AssumedHosts(m.hosts(p), age)) {
		m.send(p, m.process(a.To), modelMessage{allotment: &a.Allotment})
	}
}

func (m *model) deliver() {
	due := m.messages
	m.messages = nil
	for _, message := range due {
		to := message.to
		switch {
		case !slices.Contains(m.processes, to):
		case message.at > m.now || m.now < to.pausedUntil:
			m.messages = append(m.messages, message)
		case message.allotment != nil:
			if s := to.pot.senders[message.allotment.Process]; s != nil && m.broken == doubledAllotments {
				s.sequence, s.allowance.left = 0, maxSpan
				for i := range to.pot.slots {
					to.pot.slots[i].allowance.left = maxSpan
				}
			}
			to.pot.Add(to.clock(m.now), message.allotment)
		default:
			if m.broken == doubledReturns {
				to.pot.granted[message.returned] = grant{tenant: m.limit.Tenant, at: to.clock(m.now)}
			}
			to.pot.Return(to.clock(m.now), message.returned)
		}
	}
}

// request has a node ask a grantor for a credit, and sends a request with it or returns it.
func (m *model) request(p *modelProcess) {
	if m.now < p.pausedUntil {
		return
	}
	for _, g := range p.ring.Grantors(m.limit.Tenant) {
		grantor := m.process(g.Address)
		if grantor == nil || !m.reachable(p, grantor) || m.now < grantor.pausedUntil {
			continue
		}
		for {
			id, _, ok := grantor.pot.Grant(grantor.clock(m.now), m.limit)
			if !ok {
				break
			}
			if !m.calm && m.rng.IntN(2) == 0 {
				m.send(p, grantor, modelMessage{returned: id})
				continue
			}
			m.ran = append(m.ran, m.now)
		}
	}
}

// disturb brings about one fault or change.
func (m *model) disturb() {
	p := m.processes[m.rng.IntN(len(m.processes))]
	switch m.rng.IntN(8) {
	case 0: // The fleet splits.
		for _, q := range m.processes {
			q.group = m.rng.IntN(3)
		}
	case 1: // A data centre is cut off.
		for _, q := range m.processes {
			q.group = 0
			if q.dataCentre == p.dataCentre {
				q.group = 1
			}
		}
	case 2, 3: // The fleet is whole again.
		for _, q := range m.processes {
			q.group = 0
		}
	case 4: // A process is killed and starts again at the same host.
		m.processes = slices.DeleteFunc(m.processes, func(q *modelProcess) bool { return q == p })
		m.start(p.host, p.dataCentre, p.group)
	case 5: // A data centre starts again as a whole.
		for _, q := range slices.Clone(m.processes) {
			if q.dataCentre == p.dataCentre {
				m.processes = slices.DeleteFunc(m.processes, func(r *modelProcess) bool { return r == q })
				m.start(q.host, q.dataCentre, q.group)
			}
		}
	case 6:
		p.pausedUntil = m.now + time.Duration(m.rng.Int64N(int64(8*time.Second)))
	case 7:
		if len(m.processes) < 16 {
			m.start(fmt.Sprintf("added-%d", m.starts), p.dataCentre, p.group)
		}
	}
}

// run returns the largest number of requests in a window, and the number that is allowed.
func (m *model) run() (most, allowed float64) {
	original := m.limit
	limit := func() Limit {
		l := original
		if m.lowered > 0 {
			l.Rate, l.Burst = original.Rate/4, original.Burst/4
		}
		l.Burst += burstSlack
		return l
	}
	m.limit = limit()
	nextFault := time.Duration(m.rng.Int64N(int64(m.faultEvery)))
	for m.now = 0; m.now < modelLength; m.now += modelStep {
		if m.now >= nextFault {
			m.disturb()
			nextFault = m.now + time.Duration(m.rng.Int64N(int64(m.faultEvery)))
		}
		if m.now == modelLength/2 && m.rng.IntN(2) == 0 {
			m.lowered = m.now
			m.limit = limit()
		}
		m.updateViews()
		m.deliver()
		for _, p := range m.processes {
			m.allot(p)
			m.request(p)
		}
	}
	bound := func(l Limit) float64 { return (l.Rate*window.Seconds()+l.Burst)*(1+overage) + slack }
	allowed = bound(original)
	from := 0
	for i, at := range m.ran {
		for m.ran[from] <= at-window {
			from++
		}
		n := float64(i - from + 1)
		if m.lowered > 0 && m.ran[from] > m.lowered+window {
			// A lower limit binds one window after it is in force everywhere.
			lower := original
			lower.Rate, lower.Burst = original.Rate/4, original.Burst/4
			n *= allowed / bound(lower)
		}
		most = max(most, n)
	}
	return most, allowed
}

const modelSeeds = 100

// TestLimitHoldsWhateverIsLost checks that no window has more requests of a tenant than allowed while
// the tenant presses on everywhere, over all kinds of loss, delay, doubling, cuts, pauses, restarts
// and added hosts.
func TestLimitHoldsWhateverIsLost(t *testing.T) {
	largest := 0.0
	for seed := range uint64(modelSeeds) {
		most, allowed := newModel(seed, intact).run()
		largest = max(largest, most/allowed)
		require.LessOrEqual(t, most, allowed, "seed %d", seed)
	}
	t.Logf("at most %.2f of what is allowed", largest)
}

// TestModelFindsBrokenProtocols checks that the model is able to find protocols that are unsafe.
func TestModelFindsBrokenProtocols(t *testing.T) {
	for name, broken := range map[string]brokenness{
		"doubled allotments": doubledAllotments, "shares of live hosts": sharesOfLiveHosts, "doubled returns": doubledReturns,
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(modelSeeds) {
				if most, allowed := newModel(seed, broken).run(); most > allowed {
					found++
				}
			}
			t.Logf("found in %d of %d seeds", found, modelSeeds)
			require.Positive(t, found)
		})
	}
}

// TestLimitIsServedInCalm checks that a tenant whose requests enter at one node gets what its limit
// allows.
func TestLimitIsServedInCalm(t *testing.T) {
	for _, hosts := range []int{1, 2, 6, 80} {
		m := &model{rng: rand.New(rand.NewPCG(1, 1)), dataCentres: min(hosts, 3), calm: true, sole: hosts == 1, limit: Limit{Tenant: "t", Rate: 5, Burst: 5}}
		for i := range hosts {
			m.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("dc-%d", i%3), 0)
		}
		served := 0
		for m.now = 0; m.now < 30*time.Second; m.now += modelStep {
			m.updateViews()
			m.deliver()
			for _, p := range m.processes {
				m.allot(p)
			}
			if m.now > 10*time.Second {
				before := len(m.ran)
				m.request(m.processes[0])
				served += len(m.ran) - before
			}
		}
		require.InDelta(t, 5*20, served, 20, "%d hosts", hosts)
	}
}
