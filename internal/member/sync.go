package member

import (
	"slices"
	"strings"
	"time"
)

// tickSync starts a sync with a random member, or with a seed while all known members are
// dead or none is known.
func (l *List) tickSync(now time.Duration) {
	if now < l.nextSync {
		return
	}
	l.nextSync = now + syncInterval/2 + l.jitter(syncInterval)
	if picked := l.sample(1, ""); len(picked) > 0 {
		l.requestSync(l.table[picked[0]].Address)
		return
	}
	l.nextSync = now + joinInterval/2 + l.jitter(joinInterval)
	if n := len(l.opts.Seeds); n > 0 {
		l.requestSync(l.opts.Seeds[l.rng.IntN(n)])
	}
}

func (l *List) requestSync(address string) {
	l.send(address, &SyncRequest{Self: l.self, Digests: slices.Clone(l.digests[:])})
}

func (l *List) receiveSyncRequest(now time.Duration, from string, m *SyncRequest) {
	if len(m.Digests) != bucketCount {
		return
	}
	var differing []int
	for i, digest := range m.Digests {
		if digest != l.digests[i] {
			differing = append(differing, i)
		}
	}
	if len(differing) > 0 {
		l.syncSoon(now)
		l.sendState(from, true, differing, l.membersIn(differing))
	}
}

// syncSoon brings the next sync forward, after one that found differences.
func (l *List) syncSoon(now time.Duration) {
	l.nextSync = min(l.nextSync, now+resyncInterval/2+l.jitter(resyncInterval))
}

// membersIn returns the members in the given buckets of the table, ordered by bucket and
// name. The node itself is not among them, since each message carries its sender.
func (l *List) membersIn(buckets []int) []Member {
	wanted := [bucketCount]bool{}
	for _, i := range buckets {
		if i >= 0 && i < bucketCount {
			wanted[i] = true
		}
	}
	var members []Member
	for _, e := range l.table {
		if wanted[bucketOf(e.Name)] {
			members = append(members, e.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		if order := bucketOf(a.Name) - bucketOf(b.Name); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	return members
}

// sendState sends members, ordered by bucket, in messages of bounded size. Each message
// lists the buckets whose members it carries.
func (l *List) sendState(to string, reply bool, buckets []int, members []Member) {
	for len(buckets) > 0 {
		n, count := 0, 0
		for n < len(buckets) {
			size := leadingInBucket(members[count:], buckets[n])
			if n > 0 && count+size > maxSyncUpdates {
				break
			}
			count += size
			n++
		}
		l.send(to, &SyncState{Self: l.self, Reply: reply, Buckets: buckets[:n], Updates: members[:count]})
		buckets, members = buckets[n:], members[count:]
	}
}

// leadingInBucket returns the number of members at the start of the list that are in a
// bucket.
func leadingInBucket(members []Member, bucket int) int {
	n := 0
	for n < len(members) && bucketOf(members[n].Name) == bucket {
		n++
	}
	return n
}

// receiveSyncState sends the members of which this node has a newer view back to the
// sender, if it asks for a reply.
func (l *List) receiveSyncState(now time.Duration, from string, m *SyncState) {
	l.syncSoon(now)
	if !m.Reply {
		return
	}
	theirs := make(map[string]*Member, len(m.Updates))
	for i := range m.Updates {
		theirs[m.Updates[i].Name] = &m.Updates[i]
	}
	var newer []Member
	var buckets []int
	for _, own := range l.membersIn(m.Buckets) {
		known, ok := theirs[own.Name]
		if own.Name == m.Self.Name || ok && !own.overrides(known) || !ok && own.State == Dead {
			continue
		}
		newer = append(newer, own)
		if bucket := bucketOf(own.Name); !slices.Contains(buckets, bucket) {
			buckets = append(buckets, bucket)
		}
	}
	l.sendState(from, false, buckets, newer)
}
