package member

import "time"

// tickHints pings one of the addresses in the host list and the seeds that no live
// member has.
func (l *List) tickHints(now time.Duration) {
	if now < l.nextHint {
		return
	}
	l.nextHint = now + hintInterval/2 + l.jitter(hintInterval)
	addresses := l.hintAddresses()
	if len(addresses) == 0 {
		return
	}
	l.hintIndex = (l.hintIndex + 1) % len(addresses)
	l.ping(addresses[l.hintIndex], "", l.nextSequence())
}

// hintAddresses returns the addresses in the host list and the seeds that neither the
// node itself nor any member that is not dead has.
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
