// Package settings holds what differs between the hosts of an environment: the
// name, data centre and addresses of one host, and where it finds its peers,
// the platform's services and the targets.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// MaxBytes is the greatest size of a settings file, in bytes.
const MaxBytes = 1 << 20

// Settings is the configuration of one host. Every address is an IP number
// with a port, and every URL names its host by IP number.
type Settings struct {
	// Name identifies the host in the fleet.
	Name string `json:"name"`
	// DataCentre is the data centre in which the host runs.
	DataCentre string `json:"data_centre"`
	// Cell names the group of hosts that divide leaves among themselves.
	Cell string `json:"cell"`
	// HTTPListen is the address at which callers reach the host.
	HTTPListen string `json:"http_listen"`
	// OpsListen is the address of status, metrics and readiness.
	OpsListen string `json:"ops_listen"`
	// PeerListen is the address at which other hosts reach the host.
	PeerListen string `json:"peer_listen"`
	// PeerAdvertise is the address that peers are told; it defaults to
	// PeerListen.
	PeerAdvertise string `json:"peer_advertise"`
	// Peers is the seed list. It may contain the host itself, so that the same
	// list serves every host.
	Peers []Peer `json:"peers"`
	// ConfigurationService is the URL at which the document is read and watched.
	ConfigurationService string `json:"configuration_service"`
	// HostList is the URL of the platform's list of live and leaving hosts, which
	// may also give addresses to targets.
	HostList string `json:"host_list"`
	// Targets gives addresses to targets. They take precedence over those of the
	// host list.
	Targets Targets `json:"targets"`
	Stop    Stop    `json:"stop"`
	Limits  Limits  `json:"limits"`
}

// Targets maps the name of an instance or a leaf to the base URL of its server.
// An entry for a leaf takes precedence over one for its instance.
type Targets map[string]string

// Peer is one host of the seed list.
type Peer struct {
	Name string `json:"name"`
	// Address is the peer's advertised peer address.
	Address string `json:"address"`
	// OpsAddress is where operators' tools find the peer's status; optional.
	OpsAddress string `json:"ops_address"`
}

// Stop configures a planned stop.
type Stop struct {
	// BalancerLagMS is how long the balancer may still send new requests after
	// the host reports that it is not ready, in milliseconds.
	BalancerLagMS int `json:"balancer_lag_ms"`
}

// BalancerLag returns BalancerLagMS as a duration.
func (s Stop) BalancerLag() time.Duration { return milliseconds(s.BalancerLagMS) }

// Limits bounds what the host accepts from callers and peers.
type Limits struct {
	// MaxBodyBytes is the greatest size of a caller's request body.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxHeaderBytes is the greatest size of a caller's request headers.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxRequests is the greatest number of callers' requests in progress.
	MaxRequests int `json:"max_requests"`
	// ReadTimeoutMS bounds the time a caller takes to send a request.
	ReadTimeoutMS int `json:"read_timeout_ms"`
	// WriteTimeoutMS bounds the time a caller takes to receive an answer, from
	// the end of the request's headers on.
	WriteTimeoutMS int `json:"write_timeout_ms"`
	// IdleTimeoutMS is how long a caller's idle connection is kept.
	IdleTimeoutMS int `json:"idle_timeout_ms"`
}

// ReadTimeout returns ReadTimeoutMS as a duration.
func (l Limits) ReadTimeout() time.Duration { return milliseconds(l.ReadTimeoutMS) }

// WriteTimeout returns WriteTimeoutMS as a duration.
func (l Limits) WriteTimeout() time.Duration { return milliseconds(l.WriteTimeoutMS) }

// IdleTimeout returns IdleTimeoutMS as a duration.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Parse decodes settings strictly, fills their defaults and checks them. The
// error is a *jsonc.Error that lists every problem with its line and field.
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

// LoadFile parses the settings in a file. Problems name the file.
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
