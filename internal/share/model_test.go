package share

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	modelSeed = flag.Uint64("share.seed", 1, "first seed of the model")
	modelRuns = flag.Uint64("share.runs", 120, "number of seeds of the model")
)

const modelDuration = 40 * time.Second

// permanentHost is the only host whose process never ends and which is in every
// host list. Without it, all processes that know which lists are in use could end.
const permanentHost = 0

// injectFault applies a random fault or event.
func (s *sim) injectFault() {
	i := s.rng.IntN(len(s.hosts))
	h := s.hosts[i]
	switch s.rng.IntN(12) {
	case 0, 1:
		h.frozenUntil = s.now + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	case 2:
		s.crash(i)
	case 3, 4:
		if h.state == nil {
			s.startProcess(i, s.rng.IntN(3))
		}
	case 5:
		for at := range s.hosts {
			if s.rng.IntN(3) > 0 {
				s.reportEnded(at, i)
			}
		}
	case 6:
		s.cut[[2]int{i, s.rng.IntN(len(s.hosts))}] = true
	case 7:
		mask := s.rng.IntN(1 << len(s.hosts))
		s.split(func(i int) bool { return mask>>i&1 == 1 })
	case 8, 9:
		clear(s.cut)
		s.loss = []float64{0, 0.02, 0.2}[s.rng.IntN(3)]
	case 10:
		if s.awake(h) && i != permanentHost {
			h.state.StartHandOver(h.local(s.now))
			h.stopAt = s.now + time.Duration(s.rng.Int64N(int64(3*time.Second)))
		}
	case 11:
		s.changeView()
	}
}

// crash ends a process. At random it is replaced immediately, or other hosts have
// their connections refused, or neither.
func (s *sim) crash(i int) {
	if i == permanentHost {
		return
	}
	s.kill(i)
	switch s.rng.IntN(3) {
	case 0:
		s.startProcess(i, s.rng.IntN(2))
	case 1:
		for at := range s.hosts {
			s.reportEnded(at, i)
		}
	}
}

// changeView publishes a random host list.
func (s *sim) changeView() {
	var members []int
	for i := range s.hosts {
		if i == permanentHost || s.rng.IntN(4) > 0 {
			members = append(members, i)
		}
	}
	s.addView(members)
}

// changeHosts makes random hosts read a recent host list, and stops hosts whose time
// for a hand-over has passed.
func (s *sim) changeHosts() {
	for i, h := range s.hosts {
		if s.awake(h) && s.rng.IntN(80) == 0 {
			s.setView(i, max(0, len(s.views)-1-s.rng.IntN(3)))
		}
		if h.stopAt > 0 && s.now >= h.stopAt {
			s.kill(i)
			h.stopAt = 0
		}
	}
}

// runModel runs a sim with a random number of hosts and random faults for one seed.
func runModel(seed uint64, opts Options) error {
	opts.ListLag = modelDuration
	doc := simDocument(simInstances)
	addService(doc, 8, 1, "direct")
	s := newSimWith(doc, seed, 2+int(seed%6), opts)
	if err := s.run(3 * time.Second); err != nil {
		return err
	}
	for s.now < modelDuration {
		if s.rng.IntN(24) == 0 {
			s.injectFault()
		}
		s.changeHosts()
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func TestModelNeverExceedsSlotBounds(t *testing.T) {
	for seed := *modelSeed; seed < *modelSeed+*modelRuns; seed++ {
		require.NoError(t, runModel(seed, Options{ExitEndsCalls: seed%2 == 0}), "seed %d", seed)
	}
}

func TestModelDetectsUnsafeTakeover(t *testing.T) {
	for seed := uint64(1); seed <= 120; seed++ {
		if err := runModel(seed, Options{unsafeTakeover: true}); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatal("the model found no fault in a takeover that does not account for every host")
}
