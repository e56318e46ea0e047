package target

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Headers of the HTTP contract between holders and leaves.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderTimeout     = "X-Request-Timeout-Ms"
	HeaderIdempotent  = "X-Idempotent"
	HeaderLeaf        = "X-Leaf"
	HeaderCustomer    = "X-Customer"
	HeaderClass       = "X-Request-Class"
	HeaderSnapshot    = "X-Snapshot"
	HeaderHeld        = "X-Snapshots-Held"
	HeaderKeyRange    = "X-Key-Range"
	HeaderIncarnation = "X-Leaf-Incarnation"
	HeaderState       = "X-Leaf-State"
	HeaderRefusal     = "X-Refusal"
	HeaderRun         = "X-Run"
)

// Paths of the HTTP contract.
const (
	PathRun    = "/v1/run"
	PathReport = "/v1/report"
	PathCancel = "/v1/cancel"
)

// FormatRange formats a key range as a header value.
func FormatRange(from, to uint32) string {
	return strconv.FormatUint(uint64(from), 10) + "-" + strconv.FormatUint(uint64(to), 10)
}

// ParseRange parses the header value of a key range.
func ParseRange(text string) (from, to uint32, err error) {
	left, right, found := strings.Cut(text, "-")
	if !found {
		return 0, 0, fmt.Errorf("key range %q has no dash", text)
	}
	f, err := strconv.ParseUint(left, 10, 32)
	if err != nil {
		return 0, 0, fmt.Errorf("key range %q: %w", text, err)
	}
	t, err := strconv.ParseUint(right, 10, 32)
	if err != nil {
		return 0, 0, fmt.Errorf("key range %q: %w", text, err)
	}
	if f > t {
		return 0, 0, fmt.Errorf("key range %q ends before it starts", text)
	}
	return uint32(f), uint32(t), nil
}

// FormatHeld formats a list of held snapshots, newest first, as a header value.
func FormatHeld(held []Held) string {
	parts := make([]string, len(held))
	for i, h := range held {
		parts[i] = h.Snapshot + ";" + FormatRange(h.From, h.To)
	}
	return strings.Join(parts, ",")
}

// ParseHeld parses the header value of a list of held snapshots.
func ParseHeld(text string) ([]Held, error) {
	if text == "" {
		return nil, nil
	}
	var held []Held
	for part := range strings.SplitSeq(text, ",") {
		name, rangeText, found := strings.Cut(part, ";")
		if !found {
			return nil, fmt.Errorf("held snapshot %q has no key range", part)
		}
		from, to, err := ParseRange(rangeText)
		if err != nil {
			return nil, err
		}
		held = append(held, Held{Snapshot: name, From: from, To: to})
	}
	return held, nil
}

func parseReport(h http.Header) (Report, error) {
	held, err := ParseHeld(h.Get(HeaderHeld))
	if err != nil {
		return Report{}, err
	}
	r := Report{
		Incarnation: h.Get(HeaderIncarnation),
		State:       State(h.Get(HeaderState)),
		Held:        held,
	}
	return r, nil
}
