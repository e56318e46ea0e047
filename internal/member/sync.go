package member

import (
	"slices"
	"strings"
	"time"
)

// tickSync compares the table with that of a random member, or joins through a
// seed while no member is known.
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
	if len(m.Digests) != buckets {
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
		l.sendState(from, true, differing, l.membersOf(differing))
	}
}

// syncSoon brings the next comparison forward after one that found differences.
func (l *List) syncSoon(now time.Duration) {
	l.nextSync = min(l.nextSync, now+resyncInterval/2+l.jitter(resyncInterval))
}

// membersOf returns the members of some parts of the table, with the node
// itself, ordered by part.
func (l *List) membersOf(parts []int) []Member {
	wanted := [buckets]bool{}
	for _, i := range parts {
		if i >= 0 && i < buckets {
			wanted[i] = true
		}
	}
	var members []Member
	for _, e := range l.table {
		if wanted[bucket(e.Name)] {
			members = append(members, e.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		if byPart := bucket(a.Name) - bucket(b.Name); byPart != 0 {
			return byPart
		}
		return strings.Compare(a.Name, b.Name)
	})
	return members
}

// sendState sends members in bounded messages. Each names the parts of which it
// carries all members.
func (l *List) sendState(to string, reply bool, parts []int, members []Member) {
	for len(parts) > 0 {
		n, count := 0, 0
		for n < len(parts) {
			size := countOf(members[count:], parts[n])
			if n > 0 && count+size > maxSyncUpdates {
				break
			}
			count += size
			n++
		}
		l.send(to, &SyncState{Self: l.self, Reply: reply, Buckets: parts[:n], Updates: members[:count]})
		parts, members = parts[n:], members[count:]
	}
}

// countOf returns the number of leading members of a part.
func countOf(members []Member, part int) int {
	n := 0
	for n < len(members) && bucket(members[n].Name) == part {
		n++
	}
	return n
}

// receiveSyncState returns what the node knows better than the sender.
func (l *List) receiveSyncState(now time.Duration, from string, m *SyncState) {
	l.syncSoon(now)
	if !m.Reply {
		return
	}
	theirs := make(map[string]*Member, len(m.Updates))
	for i := range m.Updates {
		theirs[m.Updates[i].Name] = &m.Updates[i]
	}
	var better []Member
	var parts []int
	for _, mine := range l.membersOf(m.Buckets) {
		known, ok := theirs[mine.Name]
		if mine.Name == m.Self.Name || ok && !mine.overrides(known) || !ok && mine.State == Dead {
			continue
		}
		better = append(better, mine)
		if part := bucket(mine.Name); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	l.sendState(from, false, parts, better)
}
