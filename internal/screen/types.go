// Package screen runs the controller that keeps requests which crash targets from
// crashing more of them. The decisions are those of package quarantine; this
// package keeps them under a lock and exchanges records with the other hosts.
package screen

import (
	"context"

	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// Peers reaches the other hosts of the fleet. Implementations are safe for
// concurrent use.
type Peers interface {
	// Hosts returns the names of the other hosts that are not known to be dead.
	Hosts() []string
	// SendBatch passes records to a host; it may be lost.
	SendBatch(host string, b *Batch)
	// SendAck acknowledges a batch; it may be lost.
	SendAck(host string, a *Ack)
	// SendEnd tells the host that gave a permit that a trial has ended; it may be lost.
	SendEnd(host string, e *End)
	// RequestPermit asks the deciding host for a permit.
	RequestPermit(ctx context.Context, host string, known *quarantine.Record) (*Answer, error)
	// Records asks a host for all its records.
	Records(ctx context.Context, host string) ([]quarantine.Record, error)
}

// Batch carries records from a host.
type Batch struct {
	From  string
	Batch quarantine.Batch
}

// Ack acknowledges a batch.
type Ack struct {
	From   string
	Number uint64
}

// End tells the deciding host that the trial under a permit has ended without a
// clear result. Sent is false if nothing was sent under the permit.
type End struct {
	Permit quarantine.Permit
	Sent   bool
}

// Answer is the deciding host's answer to a request for a permit.
type Answer struct {
	Grant  quarantine.Grant
	Permit quarantine.Permit
	Record quarantine.Record
}

// RecordList is the answer to a question for all records.
type RecordList struct {
	Records []quarantine.Record
}
