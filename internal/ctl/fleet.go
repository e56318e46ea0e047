package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/status"
)

// maxStatusBytes bounds the size of a host's status.
const maxStatusBytes = 1 << 20

// maxStatusRequests bounds the status requests in flight.
const maxStatusRequests = 64

// fleetStatus is the output of status.
type fleetStatus struct {
	Hosts    []hostStatus `json:"hosts"`
	Warnings []string     `json:"warnings,omitempty"`
}

// hostStatus is the status of one host, or the error of the request for it.
type hostStatus struct {
	Address string       `json:"address"`
	Node    *status.Node `json:"node,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// readFleet reads the status of all hosts concurrently.
func readFleet(ctx context.Context, addresses []string, timeout time.Duration) *fleetStatus {
	fleet := &fleetStatus{Hosts: make([]hostStatus, len(addresses))}
	sem := make(chan struct{}, maxStatusRequests)
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			fleet.Hosts[i] = readHost(ctx, address, timeout)
		})
	}
	wg.Wait()
	fleet.addWarnings()
	return fleet
}

func readHost(ctx context.Context, address string, timeout time.Duration) hostStatus {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	node, err := readNode(ctx, address)
	if err != nil {
		return hostStatus{Address: address, Error: err.Error()}
	}
	return hostStatus{Address: address, Node: node}
}

func readNode(ctx context.Context, address string) (*status.Node, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected HTTP status %s", response.Status)
	}
	node := &status.Node{}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(node)
	if err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return node, nil
}

// addWarnings adds a warning for each host that gives no status or does not have the
// newest document of the fleet in force.
func (f *fleetStatus) addWarnings() {
	var newest document.Identity
	for _, host := range f.Hosts {
		if host.Node != nil && host.Node.Revision > newest.Revision {
			newest = identityOf(host.Node)
		}
	}
	for _, host := range f.Hosts {
		if warning := host.warning(newest); warning != "" {
			f.Warnings = append(f.Warnings, warning)
		}
	}
}

func identityOf(node *status.Node) document.Identity {
	return document.Identity{Revision: node.Revision, Digest: node.Digest}
}

// warning compares a host's document with the newest one of the fleet. It returns an
// empty string if they are the same.
func (h *hostStatus) warning(newest document.Identity) string {
	if h.Node == nil {
		return fmt.Sprintf("host at %s gives no status: %s", h.Address, h.Error)
	}
	own := identityOf(h.Node)
	switch {
	case own.Revision == 0:
		return fmt.Sprintf("host %s has no document", h.Node.Name)
	case own.ConflictsWith(newest):
		return fmt.Sprintf("CONFLICT: host %s has %v, others have digest %s", h.Node.Name, own, shortDigest(newest.Digest))
	case own != newest:
		return fmt.Sprintf("host %s has revision %d, the newest is %d", h.Node.Name, own.Revision, newest.Revision)
	default:
		return ""
	}
}
