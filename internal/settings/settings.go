// Package settings defines the settings that differ between the hosts of an
// environment: the name, data centre and addresses of a host, and the addresses of its
// peers, the platform's services and the targets.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 1 << 20

// Settings is the configuration of one host. Every address is an IP address with a
// port, and the host of every URL is an IP address.
type Settings struct {
	// Name identifies the host in the fleet.
	Name string `json:"name"`
	// DataCentre is the data centre in which the host runs.
	DataCentre string `json:"data_centre"`
	// Cell is the name of the group of hosts that divide the leaves among themselves.
	Cell string `json:"cell"`
	// HTTPListen is the listen address for callers.
	HTTPListen string `json:"http_listen"`
	// OpsListen is the listen address for status, metrics and readiness.
	OpsListen string `json:"ops_listen"`
	// PeerListen is the listen address for other hosts.
	PeerListen string `json:"peer_listen"`
	// PeerAdvertise is the address that the host announces to its peers. It defaults
	// to PeerListen.
	PeerAdvertise string `json:"peer_advertise"`
	// Peers is the seed list. It may contain the host itself, so that all hosts can
	// have the same list.
	Peers []Peer `json:"peers"`
	// ConfigurationService is the URL from which the document is read and watched.
	ConfigurationService string `json:"configuration_service"`
	// HostList is the URL of the platform's list of live and leaving hosts, which may
	// also contain the URLs of targets.
	HostList string `json:"host_list"`
	// Targets contains the URLs of targets. They take precedence over those of the
	// host list.
	Targets Targets `json:"targets"`
	Stop    Stop    `json:"stop"`
	Limits  Limits  `json:"limits"`
}

// Targets maps the name of an instance or a leaf to the base URL of its server.
// An entry for a leaf takes precedence over one for its instance.
type Targets map[string]string

// Peer is a host of the seed list.
type Peer struct {
	Name string `json:"name"`
	// Address is the peer's advertised peer address.
	Address string `json:"address"`
	// OpsAddress is the address at which operators' tools query the peer's status. It
	// is optional.
	OpsAddress string `json:"ops_address"`
}

// Stop configures a planned stop.
type Stop struct {
	// BalancerLagMS is the time, in milliseconds, for which the load balancer may still
	// send new requests after the host has reported that it is not ready.
	BalancerLagMS int `json:"balancer_lag_ms"`
}

// BalancerLag returns BalancerLagMS as a duration.
func (s Stop) BalancerLag() time.Duration { return milliseconds(s.BalancerLagMS) }

// Limits holds the limits for requests and connections of callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of a caller's request body.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of a caller's request headers.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxRequests is the maximum number of callers' requests in flight.
	MaxRequests int `json:"max_requests"`
	// ReadTimeoutMS is the maximum time for a caller to send a request.
	ReadTimeoutMS int `json:"read_timeout_ms"`
	// WriteTimeoutMS is the maximum time for a caller to receive an answer, from the
	// end of the request's headers.
	WriteTimeoutMS int `json:"write_timeout_ms"`
	// IdleTimeoutMS is how long an idle connection of a caller is kept open.
	IdleTimeoutMS int `json:"idle_timeout_ms"`
	// MemoryBytes is the memory that the process may use. Zero means the memory limit of the Go runtime.
	MemoryBytes int `json:"memory_bytes"`
	// MaxFiles is the number of descriptors that the process may use. Zero means the limit of the
	// operating system.
	MaxFiles int `json:"max_files"`
}

// ReadTimeout returns ReadTimeoutMS as a duration.
func (l Limits) ReadTimeout() time.Duration { return milliseconds(l.ReadTimeoutMS) }

// WriteTimeout returns WriteTimeoutMS as a duration.
func (l Limits) WriteTimeout() time.Duration { return milliseconds(l.WriteTimeoutMS) }

// IdleTimeout returns IdleTimeoutMS as a duration.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Parse decodes settings strictly, sets their defaults and validates them. The error
// is a *jsonc.Error that lists every problem with its line and field.
func Parse(data []byte) (*Settings, error) {
	s := Defaults()
	report := jsonc.Decode(data, MaxBytes, s)
	if report.Decoded() {
		s.setDerived()
		s.validate(report)
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadFile parses the settings in a file. The problems of a returned error include the
// file name.
func LoadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, jsonc.WithFile(err, path)
	}
	return s, nil
}
