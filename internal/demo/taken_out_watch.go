package demo

import (
	"sync"
	"time"
)

// takenOutGrace is the time after which a data centre that has been taken out must
// receive no new work.
const takenOutGrace = 3 * time.Second

// takenOutWatch counts the requests that data centres receive although they have
// been taken out for longer than takenOutGrace.
type takenOutWatch struct {
	// mu guards the fields below.
	mu     sync.Mutex
	late   int
	timers map[string]*time.Timer
	// atGraceEnd holds the number of requests that a watched data centre had received
	// when takenOutGrace ended.
	atGraceEnd map[string]int
}

func newTakenOutWatch() *takenOutWatch {
	return &takenOutWatch{timers: map[string]*time.Timer{}, atGraceEnd: map[string]int{}}
}

// start starts watching a data centre. count returns the number of requests that it
// has received so far.
func (w *takenOutWatch) start(centre string, count func() int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timers[centre] != nil {
		return
	}
	w.timers[centre] = time.AfterFunc(takenOutGrace, func() {
		received := count()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.timers[centre] != nil {
			w.atGraceEnd[centre] = received
		}
	})
}

// stop stops watching a data centre and adds its late requests to the total.
func (w *takenOutWatch) stop(centre string, count func() int) {
	received := count()
	w.mu.Lock()
	defer w.mu.Unlock()
	timer := w.timers[centre]
	if timer == nil {
		return
	}
	timer.Stop()
	if atGraceEnd, watched := w.atGraceEnd[centre]; watched {
		w.late += received - atGraceEnd
	}
	delete(w.timers, centre)
	delete(w.atGraceEnd, centre)
}

// centres returns the watched data centres.
func (w *takenOutWatch) centres() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var centres []string
	for centre := range w.timers {
		centres = append(centres, centre)
	}
	return centres
}

func (w *takenOutWatch) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// LateRequests stops watching all data centres and returns the number of requests
// that they received although they had been taken out for longer than 3 s.
func (s *Site) LateRequests() int {
	for _, centre := range s.watch.centres() {
		s.watch.stop(centre, s.requestsIn(centre))
	}
	return s.watch.total()
}

// requestsIn returns a function that counts the requests of a data centre.
func (s *Site) requestsIn(centre string) func() int {
	return func() int {
		received := 0
		for _, l := range s.leaves {
			if l.dataCentre == centre {
				received += l.Counts().Requests
			}
		}
		return received
	}
}
