// Package once runs requests that are not idempotent at most once.
//
// A caller first gets a ticket, which names one process incarnation. Only that
// process, or the process that it has handed the ticket over to, runs the request
// that carries the ticket, and its Table keeps the outcome for resends. Safety
// depends on no agreement, no host list and no clock: lost messages, delays and
// replaced processes lead only to refusals.
//
// The package does no I/O and reads no clock. Monotonic time and random
// numbers are passed in.
package once

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// MaxHostLength is the greatest length of a host name in a ticket, in bytes.
	MaxHostLength = 128
	// numberBase is the base of the numbers in a ticket's text.
	numberBase = 36
	// ticketFields is the number of fields in a ticket's text.
	ticketFields = 4
)

// Process identifies one start of the program on a host.
type Process struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Host     string
	// Incarnation is drawn at random at each start of the process.
	Incarnation uint64
}

// Ticket permits one run of one request.
type Ticket struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	// Home is the process that issued the ticket.
	Home     Process
	Sequence uint64
	// Random prevents callers from guessing the tickets of others.
	Random uint64
}

// String returns the text of the ticket, "host.incarnation.sequence.random".
func (t Ticket) String() string {
	fields := []string{t.Home.Host, formatNumber(t.Home.Incarnation), formatNumber(t.Sequence), formatNumber(t.Random)}
	return strings.Join(fields, ".")
}

// ParseTicket parses the text of a ticket. Each ticket has exactly one text.
func ParseTicket(text string) (Ticket, error) {
	if len(text) > MaxHostLength+ticketFields*16 {
		return Ticket{}, fmt.Errorf("ticket has %d bytes", len(text))
	}
	fields := strings.Split(text, ".")
	if len(fields) < ticketFields {
		return Ticket{}, fmt.Errorf("ticket %q has %d fields instead of %d", text, len(fields), ticketFields)
	}
	last := len(fields) - (ticketFields - 1)
	t := Ticket{Home: Process{Host: strings.Join(fields[:last], ".")}}
	if t.Home.Host == "" || len(t.Home.Host) > MaxHostLength {
		return Ticket{}, fmt.Errorf("ticket %q has a host name of %d bytes", text, len(t.Home.Host))
	}
	for i, number := range []*uint64{&t.Home.Incarnation, &t.Sequence, &t.Random} {
		value, err := strconv.ParseUint(fields[last+i], numberBase, 64)
		if err != nil {
			return Ticket{}, fmt.Errorf("ticket %q: %w", text, err)
		}
		*number = value
	}
	if t.String() != text {
		return Ticket{}, fmt.Errorf("ticket %q is not in its canonical form %q", text, t)
	}
	return t, nil
}

func formatNumber(n uint64) string { return strconv.FormatUint(n, numberBase) }
