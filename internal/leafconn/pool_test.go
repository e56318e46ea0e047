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
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("leaf", 1, true)
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		c := newConn(p, near)
		p.open = 1
		var served []int
		for i := range 3 {
			go func() {
				got, err := p.get(context.Background(), 0)
				if assert.NoError(t, err) {
					served = append(served, i)
					p.release(got)
				}
			}()
			synctest.Wait()
		}
		p.release(c)
		synctest.Wait()
		require.Equal(t, []int{2, 1, 0}, served)
	})
}
