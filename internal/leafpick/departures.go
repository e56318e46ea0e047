package leafpick

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

// maxDepartures bounds the number of departures. Beyond it, those are dropped whose processes
// were listed least recently.
const maxDepartures = 4096

// Departures records the processes of leaves that have said that they are leaving. A process
// never returns from that; a leaf that starts again is another process. The caller serializes
// the calls.
type Departures struct {
	byProcess map[catalog.Process]*departure
}

// Departure is the departure of one process of a leaf.
type Departure struct {
	Service string
	Process catalog.Process
}

type departure struct {
	service string
	// learnedAt is when the departure was recorded, and listedAt when the process was last
	// listed in the catalog.
	learnedAt time.Duration
	listedAt  time.Duration
}

// NewDepartures returns empty Departures.
func NewDepartures() *Departures {
	return &Departures{byProcess: map[catalog.Process]*departure{}}
}

// Add records a departure. It reports false if it was known.
func (d *Departures) Add(now time.Duration, new Departure) bool {
	if d.Has(new.Process) {
		return false
	}
	if len(d.byProcess) >= maxDepartures {
		d.evict()
	}
	d.byProcess[new.Process] = &departure{service: new.Service, learnedAt: now, listedAt: now}
	return true
}

// Has reports whether a process is leaving.
func (d *Departures) Has(p catalog.Process) bool { return d.byProcess[p] != nil }

// Listed records that the catalog lists a process, and reports whether the process is leaving.
func (d *Departures) Listed(now time.Duration, p catalog.Process) bool {
	known := d.byProcess[p]
	if known == nil {
		return false
	}
	known.listedAt = now
	return true
}

// Recent returns the departures that were recorded within maxAge, at most limit.
func (d *Departures) Recent(now, maxAge time.Duration, limit int) []Departure {
	var recent []Departure
	for p, known := range d.byProcess {
		if now-known.learnedAt <= maxAge && len(recent) < limit {
			recent = append(recent, Departure{Service: known.service, Process: p})
		}
	}
	return recent
}

// evict drops the departure whose process was listed least recently.
func (d *Departures) evict() {
	var oldest catalog.Process
	first := true
	for p, known := range d.byProcess {
		if first || known.listedAt < d.byProcess[oldest].listedAt {
			oldest, first = p, false
		}
	}
	delete(d.byProcess, oldest)
}
