package experiment

import (
	"fmt"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

// shard is one service: its leaves and their entries in the catalog.
type shard struct {
	set     *LeafSet
	service *catalog.Service
	leaves  []*leaf
}

// leaf models one leaf. A restart replaces its entry.
type leaf struct {
	sim     *simulation
	shard   *shard
	entry   *catalog.Leaf
	running int
	waiting []*attempt
	// pauseOffset shifts the pauses of the leaf in time.
	pauseOffset time.Duration
	coldUntil   time.Duration
	// The states that events set.
	slowFactor           float64
	dark, down, shedding bool
	leaving              bool
	quietFor             time.Duration
	// conns is the number of open connections.
	conns int
	// second and arrivals count the arrivals in one second.
	second   int
	arrivals int
}

func newLeaf(s *simulation, sh *shard, id, dataCentre string) *leaf {
	l := &leaf{sim: s, shard: sh, slowFactor: 1}
	l.entry = &catalog.Leaf{ID: id, Service: sh.service.Name, Address: id, DataCentre: dataCentre, Slots: sh.set.Slots, Started: 1}
	if every := milliseconds(sh.set.PauseEveryMS); every > 0 {
		l.pauseOffset = time.Duration(s.random.Float64() * float64(every))
	}
	return l
}

// restart replaces the process of the leaf by a cold one. Requests at the old one are lost.
func (l *leaf) restart() {
	l.abort()
	entry := *l.entry
	entry.Started++
	entry.WarmupLeft = milliseconds(l.shard.set.ColdMS)
	l.entry, l.coldUntil = &entry, l.sim.clock.now+entry.WarmupLeft
}

// abort ends all connections of the leaf's process.
func (l *leaf) abort() {
	for _, a := range l.waiting {
		a.reset()
	}
	// A job that runs sees that the process has changed when it ends.
	l.waiting, l.running, l.conns = nil, 0, 0
	entry := *l.entry
	entry.Started++
	l.entry = &entry
}

// accept takes a request that has arrived on a connection.
func (l *leaf) accept(a *attempt) {
	if a.process != l.entry.Process() {
		a.reset()
		return
	}
	l.countArrival(a)
	switch {
	case l.dark:
	case l.shedding || l.running >= l.shard.set.Slots && len(l.waiting) >= l.shard.set.Queue:
		a.refuse(l.quietFor)
	case l.running >= l.shard.set.Slots:
		l.waiting = append(l.waiting, a)
	default:
		l.start(a)
	}
}

func (l *leaf) start(a *attempt) {
	l.running++
	process := l.entry.Process()
	l.sim.clock.at(l.finish(l.work(a.call.query.class.WorkMS)), func() {
		if process != l.entry.Process() {
			a.reset()
			return
		}
		l.running--
		if !l.dark {
			a.answer(l.leaving)
		}
		if len(l.waiting) > 0 && !l.dark {
			next := l.waiting[0]
			l.waiting = l.waiting[1:]
			l.start(next)
		}
	})
}

// work returns the time that one request takes at the leaf.
func (l *leaf) work(meanMS float64) time.Duration {
	ms := meanMS * (0.5 + 0.5*l.sim.random.ExpFloat64()) * l.slowFactor
	if l.sim.clock.now < l.coldUntil {
		ms *= max(l.shard.set.ColdFactor, 1)
	}
	return milliseconds(ms)
}

// finish returns when work that starts now ends, given the pauses of the leaf.
func (l *leaf) finish(work time.Duration) time.Duration {
	every, pause := milliseconds(l.shard.set.PauseEveryMS), milliseconds(l.shard.set.PauseMS)
	now := l.sim.clock.now
	if every <= 0 || pause <= 0 {
		return now + work
	}
	for {
		phase := (now + l.pauseOffset) % every
		if phase < pause {
			now += pause - phase
			phase = pause
		}
		if left := every - phase; work > left {
			now, work = now+left, work-left
			continue
		}
		return now + work
	}
}

func (l *leaf) countArrival(a *attempt) {
	now := l.sim.clock.now
	if second := int(now / time.Second); second != l.second {
		l.second, l.arrivals = second, 0
	}
	l.arrivals++
	l.sim.result.countArrival(now, a, l.arrivals, now < l.coldUntil)
}

// latency returns the time between a leaf and a node, one way.
func (l *leaf) latency(n *node) time.Duration {
	if l.entry.DataCentre == n.dataCentre {
		return milliseconds(l.sim.config.Network.WithinMS)
	}
	return milliseconds(l.sim.config.Network.BetweenMS)
}

func dataCentreName(i int) string { return fmt.Sprint("dc-", i) }
