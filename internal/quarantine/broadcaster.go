package quarantine

import (
	"slices"
	"time"
)

// SettleLimit bounds the time for which an answer is delayed until peers acknowledge
// the records that it depends on.
const SettleLimit = 250 * time.Millisecond

const (
	// maxBatchRecords bounds the records in one message.
	maxBatchRecords = 64
	// resendInterval is the interval at which a message is resent until it is acknowledged.
	resendInterval = 20 * time.Millisecond
	// deliveryTimeout is the age at which a message is no longer resent. A peer that has
	// missed it gets the records with later requests for their contents, or when it
	// restarts.
	deliveryTimeout = 30 * time.Second
)

// Batch is a message that carries records.
type Batch struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Records  []Record
}

// delivery is a Batch that is being sent to several peers.
type delivery struct {
	batch     Batch
	startedAt time.Duration
	lastSent  time.Duration
	// unacknowledged lists the peers that have not acknowledged the batch.
	unacknowledged []string
}

// Broadcaster sends records to peers and resends them until each peer has
// acknowledged them or deliveryTimeout has passed.
type Broadcaster struct {
	lastNumber uint64
	deliveries []*delivery
}

// Start starts the delivery of records to peers and returns the numbers of the
// batches that carry them.
func (b *Broadcaster) Start(now time.Duration, records []Record, peers []string) []uint64 {
	var numbers []uint64
	for len(records) > 0 {
		size := min(len(records), maxBatchRecords)
		b.lastNumber++
		d := &delivery{
			batch:          Batch{Number: b.lastNumber, Records: records[:size]},
			startedAt:      now,
			lastSent:       now - resendInterval,
			unacknowledged: slices.Clone(peers),
		}
		b.deliveries = append(b.deliveries, d)
		numbers = append(numbers, b.lastNumber)
		records = records[size:]
	}
	return numbers
}

// Idle reports whether no delivery is in progress.
func (b *Broadcaster) Idle() bool { return len(b.deliveries) == 0 }

// Due calls send for each peer and batch that must be sent or resent now, and drops
// the deliveries that are complete or have timed out.
func (b *Broadcaster) Due(now time.Duration, send func(peer string, batch Batch)) {
	kept := b.deliveries[:0]
	for _, d := range b.deliveries {
		if len(d.unacknowledged) == 0 || now-d.startedAt >= deliveryTimeout {
			continue
		}
		kept = append(kept, d)
		if now-d.lastSent < resendInterval {
			continue
		}
		d.lastSent = now
		for _, peer := range d.unacknowledged {
			send(peer, d.batch)
		}
	}
	clear(b.deliveries[len(kept):])
	b.deliveries = kept
}

// Acknowledged records that a peer has acknowledged a batch.
func (b *Broadcaster) Acknowledged(peer string, number uint64) {
	for _, d := range b.deliveries {
		if d.batch.Number == number {
			d.unacknowledged = slices.DeleteFunc(d.unacknowledged, func(p string) bool { return p == peer })
		}
	}
}

// Settled reports whether an answer that depends on a batch may be sent: either each
// peer has acknowledged the batch, or SettleLimit has passed.
func (b *Broadcaster) Settled(now time.Duration, number uint64) bool {
	for _, d := range b.deliveries {
		if d.batch.Number == number {
			return len(d.unacknowledged) == 0 || now-d.startedAt >= SettleLimit
		}
	}
	return true
}
