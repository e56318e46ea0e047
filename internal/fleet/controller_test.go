package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// TestManyChangesAreReportedTogether checks that the joins of a hundred hosts within 100 ms
// are reported in few calls, since each report makes a node assign its leaves again.
func TestManyChangesAreReportedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, most = 100, 4
		var reports [][]member.Member
		c := New(Options{
			Self:     member.Member{Name: "self", Address: "self", Incarnation: 1},
			Send:     func(string, wire.Type, any) bool { return true },
			OnChange: func(members []member.Member) { reports = append(reports, members) },
			Logger:   zap.NewNop(), Scope: tally.NoopScope,
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		for i := range hosts {
			host := member.Member{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Incarnation: 1}
			e, err := encodeEnvelope(&member.Ping{Self: host, Sequence: 1})
			require.NoError(t, err)
			payload, err := wire.Encode(e)
			require.NoError(t, err)
			c.Deliver(payload)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2*minReportInterval + member.TickInterval)
		cancel()
		require.NoError(t, <-ended)
		require.NotEmpty(t, reports)
		require.Len(t, reports[len(reports)-1], hosts)
		require.LessOrEqual(t, len(reports), most)
	})
}
