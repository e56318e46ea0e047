// Package screen provides the controller that keeps requests which crash targets from
// crashing more of them. Package quarantine makes the decisions; this package guards
// its state with a lock and exchanges records with the other hosts.
package screen

import (
	"context"

	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// Peers sends messages to the other hosts of the fleet. Implementations must be safe
// for concurrent use.
type Peers interface {
	// Hosts returns the names of the other hosts that are not known to be dead.
	Hosts() []string
	// SendBatch sends records to a host; the message may be lost.
	SendBatch(host string, b *Batch)
	// SendAck acknowledges a batch; the message may be lost.
	SendAck(host string, a *Ack)
	// SendEnd reports the end of a trial to the host that granted its permit; the
	// message may be lost.
	SendEnd(host string, e *End)
	// RequestPermit requests a permit from the deciding host.
	RequestPermit(ctx context.Context, host string, known *quarantine.Record) (*Answer, error)
	// Records requests all records of a host.
	Records(ctx context.Context, host string) ([]quarantine.Record, error)
}

// Batch is a batch of records with the name of the host that sends it.
type Batch struct {
	From  string
	Batch quarantine.Batch
}

// Ack acknowledges the batch with a number.
type Ack struct {
	From   string
	Number uint64
}

// End reports to the deciding host that the trial under a permit has ended. Sent is
// false if nothing was sent under the permit.
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

// RecordList is the answer to a request for all records.
type RecordList struct {
	Records []quarantine.Record
}
