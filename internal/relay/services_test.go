package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

// TestConcurrentUpdatesKeepNewestView updates from several goroutines, as changes of the
// catalog, changes of the members, and timers do. An older view must not replace a newer one.
func TestConcurrentUpdatesKeepNewestView(t *testing.T) {
	const maxYield = int(50 * time.Microsecond)
	var newest atomic.Pointer[catalog.View]
	latest := func() *catalog.View {
		view := newest.Load()
		time.Sleep(time.Duration(rand.IntN(maxYield)))
		return view
	}
	all := leafpick.NewFleet("n", []string{"n"})
	s := NewServices(ServicesOptions{RetryWindow: time.Second}, &Fleet{All: all, Gatherers: all}, latest, zap.NewNop())
	for round := range 300 {
		var wg sync.WaitGroup
		for i := range 4 {
			newest.Store(&catalog.View{AsOf: uint64(4*round + i + 1)})
			wg.Go(s.Update)
			time.Sleep(time.Duration(rand.IntN(maxYield)))
		}
		wg.Wait()
		require.Same(t, newest.Load(), s.view)
	}
}
