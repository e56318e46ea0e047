package quarantine

// evictionSample is the number of records that one eviction examines.
const evictionSample = 32

// evict makes space in a map that has reached its limit. It examines up to
// evictionSample records and removes those that have expired. If the map is still at
// its limit, evict removes the one that evictFirst orders before all others examined.
func evict[R any](records map[Fingerprint]R, limit int, expired func(R) bool, evictFirst func(r, other R) bool) {
	var victim Fingerprint
	sampled := 0
	found := false
	for f, r := range records {
		switch {
		case expired(r):
			delete(records, f)
		case !found || evictFirst(r, records[victim]):
			victim, found = f, true
		}
		if sampled++; sampled == evictionSample {
			break
		}
	}
	if found && len(records) >= limit {
		delete(records, victim)
	}
}
