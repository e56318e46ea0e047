package leafconn

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestNewestWaiterGoesFirst has more requests than connections. What waited longest is
// least likely to be of use.
func TestNewestWaiterGoesFirst(t *testing.T) {
	require.Equal(t, []int{2, 1, 0}, serveInTurn(t, []int{1, 1, 1}))
}

// TestUrgentWaiterGoesFirst has requests of two priorities for one connection.
func TestUrgentWaiterGoesFirst(t *testing.T) {
	require.Equal(t, []int{2, 0, 3, 1}, serveInTurn(t, []int{1, 2, 1, 2}))
}

// serveInTurn lets requests of the given priorities wait for one connection, and returns
// their numbers in the order in which they got it.
func serveInTurn(t *testing.T, priorities []int) []int {
	var served []int
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("leaf", 1, true)
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		c := newConn(p, near)
		p.open = 1
		for i, priority := range priorities {
			go func() {
				got, err := p.get(context.Background(), &Request{Priority: priority})
				if assert.NoError(t, err) {
					served = append(served, i)
					p.release(got)
				}
			}()
			synctest.Wait()
		}
		p.release(c)
		synctest.Wait()
	})
	return served
}
