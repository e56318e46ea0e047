package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// crashRecord is the crash record of a content. Its times are those of this host's clock.
type crashRecord struct {
	ends []ProcessEnd
	// answered are the last answers to the content, by service.
	answered        map[string]lastAnswer
	trials          int
	trialsChangedAt time.Duration
	expiresAt       time.Duration
}

// lastAnswer is the last answer of a service to a content.
type lastAnswer struct {
	at time.Duration
	// clearedAt is when the last answer arrived that has cleared the content of an end. Other
	// hosts are told of such answers only.
	clearedAt time.Duration
}

// add adds an end unless it is recorded already. If there are more than maxEnds, it first
// drops those that are not successive, and then those of the services with the fewest ends.
func (r *crashRecord) add(end ProcessEnd) {
	if slices.ContainsFunc(r.ends, func(known ProcessEnd) bool { return known.ID == end.ID }) {
		return
	}
	end.Sent = max(end.Sent, end.Received)
	r.ends = append(r.ends, end)
	slices.SortFunc(r.ends, func(a, b ProcessEnd) int {
		return cmp.Or(cmp.Compare(a.Ended, b.Ended), cmp.Compare(a.ID, b.ID))
	})
	if len(r.ends) > maxEnds {
		r.ends = r.successive()
	}
	if len(r.ends) > maxEnds {
		r.ends = r.latestOfWorstServices()
	}
}

// consecutive returns the consecutive ends in each service: those of requests that were
// received no earlier than the call of the previous such end was over. Of concurrent requests,
// and of the attempts of one request, only one counts, since one cause may have ended all
// their targets. The end of one process counts once, although several requests, also through
// different hosts, may have been sent to it.
func (r *crashRecord) consecutive() []ProcessEnd {
	return r.following(func(end ProcessEnd) time.Duration { return end.Received })
}

// successive is like consecutive, but counts the attempts of one request if each was sent no earlier
// than the call of the one before was over.
func (r *crashRecord) successive() []ProcessEnd {
	return r.following(func(end ProcessEnd) time.Duration { return end.Sent })
}

// following returns the ends in each service whose calls began, as begin tells, no earlier than the call of
// the previous such end was over. The end of one process counts once.
func (r *crashRecord) following(begin func(ProcessEnd) time.Duration) []ProcessEnd {
	var counted []ProcessEnd
	callEnds := map[string]time.Duration{}
	endedBy := map[string]time.Duration{}
	for _, end := range r.ends {
		if by, known := endedBy[end.Target]; known && begin(end) < by {
			callEnds[end.Service] = max(callEnds[end.Service], end.Ended)
			endedBy[end.Target] = min(by, end.EndedBy)
			continue
		}
		if callEnd, known := callEnds[end.Service]; !known || begin(end) >= callEnd {
			counted = append(counted, end)
			callEnds[end.Service] = end.Ended
			endedBy[end.Target] = end.EndedBy
		}
	}
	return counted
}

// latestOfWorstServices returns at most maxEnds ends: those of the services with the most ends, and
// the latest ones of a service of which there is no room for all.
func (r *crashRecord) latestOfWorstServices() []ProcessEnd {
	count := countServices(r.ends)
	worst := slices.SortedFunc(maps.Keys(count), func(a, b string) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
	room := map[string]int{}
	left := maxEnds
	for _, service := range worst {
		room[service] = min(count[service], left)
		left -= room[service]
	}
	return slices.DeleteFunc(r.ends, func(end ProcessEnd) bool {
		count[end.Service]--
		return count[end.Service] >= room[end.Service]
	})
}

// count returns the number of consecutive ends in the service with the most of them.
func (r *crashRecord) count() int {
	most := 0
	for _, n := range r.countByService() {
		most = max(most, n)
	}
	return most
}

// countByService returns the number of consecutive ends in each service that has any.
func (r *crashRecord) countByService() map[string]int { return countServices(r.consecutive()) }

// countServices returns the number of ends in each service.
func countServices(ends []ProcessEnd) map[string]int {
	services := map[string]int{}
	for _, end := range ends {
		services[end.Service]++
	}
	return services
}

// aboveThreshold returns the services with enough ends for a quarantine.
func aboveThreshold(count map[string]int) []string {
	var services []string
	for service, n := range count {
		if n >= quarantineThreshold {
			services = append(services, service)
		}
	}
	return services
}

// mayBeQuarantined reports whether the content has enough ends for a quarantine if the attempts of one
// request count one by one.
func (r *crashRecord) mayBeQuarantined() bool {
	return r.count() >= quarantineThreshold || len(r.successiveSuspects()) > 0
}

// successiveSuspects returns the services with enough successive ends for a quarantine.
func (r *crashRecord) successiveSuspects() []string {
	return aboveThreshold(countServices(r.successive()))
}

// sharesAll reports whether the content was unanswered at the ends of all targets of some ends.
func (r *crashRecord) sharesAll(ends []ProcessEnd) bool {
	return !slices.ContainsFunc(ends, func(end ProcessEnd) bool { return !r.hasEndOf(end.Target) })
}

// endedElsewhere reports whether the content was unanswered when a target ended of which other has no end,
// at the time of one of other's ends.
func (r *crashRecord) endedElsewhere(other *crashRecord, ends []ProcessEnd) bool {
	return slices.ContainsFunc(r.ends, func(own ProcessEnd) bool {
		return !other.hasEndOf(own.Target) && slices.ContainsFunc(ends, func(end ProcessEnd) bool {
			return (own.Ended - end.Ended).Abs() < simultaneousEnds
		})
	})
}

func (r *crashRecord) hasEndOf(target string) bool {
	return slices.ContainsFunc(r.ends, func(end ProcessEnd) bool { return end.Target == target })
}

// recordAnswer records an answer of a service and drops the ends in it up to then. It reports
// whether it dropped any.
func (r *crashRecord) recordAnswer(service string, at time.Duration) bool {
	last, answered := r.answered[service]
	switch {
	case !answered:
		last.clearedAt = distantPast
		if len(r.answered) >= maxServices {
			r.evictAnswer()
		}
	case last.at >= at:
		return false
	}
	last.at = at
	r.answered[service] = last
	before := len(r.ends)
	r.ends = slices.DeleteFunc(r.ends, func(end ProcessEnd) bool { return end.Service == service && end.Ended <= at })
	if len(r.ends) == before {
		return false
	}
	r.markCleared(service, at)
	if r.count() < quarantineThreshold {
		r.trials = 0
	}
	return true
}

// markCleared records that an answer of a service has cleared the content of an end.
func (r *crashRecord) markCleared(service string, at time.Duration) {
	last := r.answered[service]
	last.clearedAt = max(last.clearedAt, at)
	r.answered[service] = last
}

// evictAnswer drops the oldest answer.
func (r *crashRecord) evictAnswer() {
	oldest, first := "", true
	for service, last := range r.answered {
		if first || last.at < r.answered[oldest].at {
			oldest, first = service, false
		}
	}
	delete(r.answered, oldest)
}

// lastClearance returns the time of the last answer that has cleared the content of ends.
func (r *crashRecord) lastClearance() time.Duration {
	at := distantPast
	for _, last := range r.answered {
		at = max(at, last.clearedAt)
	}
	return at
}

// lastEvent returns when the last end was, or a trial was last granted or returned.
func (r *crashRecord) lastEvent() time.Duration {
	last := r.trialsChangedAt
	if n := len(r.ends); n > 0 {
		last = max(last, r.ends[n-1].Ended)
	}
	return last
}

func (r *crashRecord) message(now time.Duration, f Fingerprint) CrashRecord {
	e := CrashRecord{Fingerprint: f, Trials: uint8(min(r.trials, 255)), TrialAge: now - r.trialsChangedAt}
	for _, end := range r.ends {
		end.Received, end.Sent, end.Ended, end.EndedBy = now-end.Received, now-end.Sent, now-end.Ended, now-end.EndedBy
		e.Ends = append(e.Ends, end)
	}
	for service, last := range r.answered {
		if last.clearedAt != distantPast {
			e.Clearances = append(e.Clearances, Clearance{Service: service, Age: now - last.clearedAt})
		}
	}
	return e
}
