package quarantine

import (
	"slices"
	"time"
)

// SettleLimit is the longest time that an answer waits for peers.
const SettleLimit = 250 * time.Millisecond

const (
	// maxBatch is the greatest number of records in one message.
	maxBatch = 64
	// resendInterval is the time after which a message is sent again.
	resendInterval = 20 * time.Millisecond
	// giveUpAfter is the age at which a record is left to the exchange between
	// hosts that meet again.
	giveUpAfter = 30 * time.Second
)

// Batch is a message with records.
type Batch struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Records  []Record
}

// delivery is a Batch on its way to several peers.
type delivery struct {
	batch   Batch
	started time.Duration
	sent    time.Duration
	// waiting lists the peers that have not acknowledged.
	waiting []string
}

// Spread sends records to peers until each has acknowledged.
type Spread struct {
	next       uint64
	deliveries []*delivery
}

// Start takes records to be sent to peers and returns the numbers of their
// batches.
func (s *Spread) Start(now time.Duration, records []Record, peers []string) []uint64 {
	var numbers []uint64
	for len(records) > 0 {
		size := min(len(records), maxBatch)
		s.next++
		d := &delivery{
			batch:   Batch{Number: s.next, Records: records[:size]},
			started: now,
			sent:    now - resendInterval,
			waiting: slices.Clone(peers),
		}
		s.deliveries = append(s.deliveries, d)
		numbers = append(numbers, s.next)
		records = records[size:]
	}
	return numbers
}

// Idle reports whether nothing is on its way.
func (s *Spread) Idle() bool { return len(s.deliveries) == 0 }

// Due calls send for each batch and peer that is due.
func (s *Spread) Due(now time.Duration, send func(peer string, batch Batch)) {
	kept := s.deliveries[:0]
	for _, d := range s.deliveries {
		if len(d.waiting) == 0 || now-d.started >= giveUpAfter {
			continue
		}
		kept = append(kept, d)
		if now-d.sent < resendInterval {
			continue
		}
		d.sent = now
		for _, peer := range d.waiting {
			send(peer, d.batch)
		}
	}
	clear(s.deliveries[len(kept):])
	s.deliveries = kept
}

// Acknowledged records that a peer has taken a batch.
func (s *Spread) Acknowledged(peer string, number uint64) {
	for _, d := range s.deliveries {
		if d.batch.Number == number {
			d.waiting = slices.DeleteFunc(d.waiting, func(p string) bool { return p == peer })
		}
	}
}

// Settled reports whether an answer that depends on a batch may be given: each
// peer has acknowledged, or the time to wait is over.
func (s *Spread) Settled(now time.Duration, number uint64) bool {
	for _, d := range s.deliveries {
		if d.batch.Number == number {
			return len(d.waiting) == 0 || now-d.started >= SettleLimit
		}
	}
	return true
}
