// Package hostlist parses the platform's list of live and leaving hosts.
package hostlist

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// States of a host in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is an entry of the list.
type Host struct {
	Name string `json:"name"`
	// Address is the peer address, IP:PORT.
	Address string `json:"address"`
	// HTTPAddress is the address for callers, IP:PORT. It may be empty.
	HTTPAddress string `json:"http_address,omitempty"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region"`
	Cell        string `json:"cell,omitempty"`
	// Weight is the relative capacity of the host; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	State  string  `json:"state"`
}

// List is a revision of the host list.
type List struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
	// Targets maps the name of a leaf or an instance to its base URL.
	Targets map[string]string `json:"targets,omitempty"`
}

// Parse decodes and validates a host list. It ignores unknown fields.
func Parse(data []byte) (*List, error) {
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	if list.Revision == 0 {
		return nil, fmt.Errorf("host list has no revision")
	}
	names := map[string]bool{}
	for i, h := range list.Hosts {
		if err := validate(h); err != nil {
			return nil, fmt.Errorf("host list: entry %d: %w", i, err)
		}
		if names[h.Name] {
			return nil, fmt.Errorf("host list: host %q is listed twice", h.Name)
		}
		names[h.Name] = true
	}
	return &list, nil
}

func validate(h Host) error {
	if h.Name == "" || strings.ContainsAny(h.Name, " /~") {
		return fmt.Errorf("name %q is empty or has a space, slash or tilde", h.Name)
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fmt.Errorf("host %q: address %q is not an IP address with a port", h.Name, h.Address)
	}
	if h.State != StateLive && h.State != StateLeaving {
		return fmt.Errorf("host %q: state %q is not %q or %q", h.Name, h.State, StateLive, StateLeaving)
	}
	if h.Weight < 0 {
		return fmt.Errorf("host %q: weight %g is negative", h.Name, h.Weight)
	}
	return nil
}

// Find returns the host with the given name, and false if there is none.
func (l *List) Find(name string) (Host, bool) {
	for _, h := range l.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

// Encode returns the list as JSON.
func (l *List) Encode() []byte {
	data, _ := json.Marshal(l)
	return data
}

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
