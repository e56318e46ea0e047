package member

import "time"

// tickHints pings one address of the host list or the seeds that no known
// member occupies.
func (l *List) tickHints(now time.Duration) {
	if now < l.nextHint {
		return
	}
	l.nextHint = now + hintInterval/2 + l.jitter(hintInterval)
	addresses := l.hintAddresses()
	if len(addresses) == 0 {
		return
	}
	l.hintAt = (l.hintAt + 1) % len(addresses)
	l.ping(addresses[l.hintAt], "", l.nextSequence())
}

// hintAddresses returns the listed addresses and seeds without a member that is
// alive.
func (l *List) hintAddresses() []string {
	occupied := make(map[string]bool, len(l.alive))
	for _, name := range l.alive {
		occupied[l.table[name].Address] = true
	}
	occupied[l.self.Address] = true
	var addresses []string
	add := func(address string) {
		if !occupied[address] {
			occupied[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, h := range l.hosts {
		add(h.Address)
	}
	for _, seed := range l.opts.Seeds {
		add(seed)
	}
	return addresses
}
