package leafconn

import (
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

// servedRequests has requests wait for one connection, and returns their tenants in the order in
// which they got it.
func servedRequests(t *testing.T, requests []Request) (served []string) {
	for _, i := range servedIndices(t, requests) {
		served = append(served, requests[i].Tenant)
	}
	return served
}

// TestHotTenantDoesNotStarveOthers answers the load of one tenant that sends many times as much as
// the others: they share a scarce connection equally.
func TestHotTenantDoesNotStarveOthers(t *testing.T) {
	var requests []Request
	for range 20 {
		requests = append(requests, Request{Tenant: "hot", Priority: 1})
	}
	requests = append(requests, Request{Tenant: "a", Priority: 1}, Request{Tenant: "b", Priority: 1}, Request{Tenant: "a", Priority: 1})
	for range 20 {
		requests = append(requests, Request{Tenant: "hot", Priority: 1})
	}
	served := servedRequests(t, requests)
	require.Len(t, served, 43)
	assert.ElementsMatch(t, []string{"hot", "a", "b"}, served[:3])
	assert.ElementsMatch(t, []string{"hot", "a"}, served[3:5])
}

// TestPriorityGoesBeforeFairness has a tenant of a more urgent priority that sends more than others.
func TestPriorityGoesBeforeFairness(t *testing.T) {
	served := servedRequests(t, []Request{
		{Tenant: "usual", Priority: 2}, {Tenant: "urgent", Priority: 0}, {Tenant: "urgent", Priority: 0}, {Tenant: "urgent", Priority: 0},
	})
	assert.Equal(t, []string{"urgent", "urgent", "urgent", "usual"}, served)
}

// TestForbiddenRequestIsNotSent has a request that may no longer be sent once it gets a connection.
func TestForbiddenRequestIsNotSent(t *testing.T) {
	p := NewPool("leaf", 1, true, memlimit.New(0))
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	c := newConn(p, near)
	p.open = 1
	p.release(c)
	withdrawn := errors.New("key was taken away")
	_, err := p.Do(t.Context(), &Request{Check: func() error { return withdrawn }})
	var failed *Error
	require.ErrorAs(t, err, &failed)
	assert.ErrorIs(t, err, withdrawn)
	assert.True(t, failed.Withheld)
	assert.False(t, failed.Sent)
	assert.True(t, p.State(0).Idle, "the connection can be used by other requests")
}
