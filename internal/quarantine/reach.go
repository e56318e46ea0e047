package quarantine

import (
	"slices"
	"time"
)

// restartGap is the minimum time by which a target started after the oldest one to count as one that has
// started again.
const restartGap = 2 * time.Second

// Reach is how far back the records of the hosts reach.
type Reach struct {
	// Since is the time since the records begin.
	Since time.Duration
	// AfterLoss is set if hosts had kept records before, which are lost.
	AfterLoss bool
}

// Reach returns how far back the records of the hosts reach.
func (c *Crashes) Reach(now time.Duration) Reach {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Reach{Since: now - c.begin, AfterLoss: c.afterLoss}
}

// ExtendReach records how far back the records of another host reach, which have been merged.
func (c *Crashes) ExtendReach(now time.Duration, r Reach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if begin := now - min(r.Since, c.options.TTL); begin < c.begin {
		c.begin, c.afterLoss = begin, r.AfterLoss
	}
}

// ObserveStarts records which targets have started again before the records begin. After a loss of all
// hosts nothing else tells of ends before it. ages holds the time since the start of each target, by service.
// An observation stays valid when the target starts once more. ObserveStarts returns the number of services
// of which the first such target was found.
func (c *Crashes) ObserveStarts(now time.Duration, ages map[string][]time.Duration) (found int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range ages {
		for _, age := range list {
			c.firstStart = min(c.firstStart, now-age)
		}
	}
	for service, list := range ages {
		for _, age := range list {
			at := now - age
			if at >= c.begin || at-c.firstStart < restartGap {
				continue
			}
			known, isKnown := c.restarts[service]
			if !isKnown {
				found++
			}
			if !isKnown || known < at || known >= c.begin {
				c.restarts[service] = at
			}
		}
	}
	return found
}

// MayLackEnds reports whether the records may lack the end of a target of one of the services that would
// still be recorded: the hosts have lost earlier records, or a target has started again before the records
// begin.
func (c *Crashes) MayLackEnds(now time.Duration, services []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.afterLoss && now-c.begin < c.options.TTL {
		return true
	}
	return slices.ContainsFunc(services, func(service string) bool {
		at, found := c.restarts[service]
		return found && at < c.begin && now-at < c.options.TTL
	})
}
