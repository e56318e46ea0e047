package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/once"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// fakeForwarder answers all forwarded requests with the same result.
type fakeForwarder wire.ForwardResult

// Forward implements Forwarder.
func (f fakeForwarder) Forward(context.Context, once.Process, *wire.Forward) (*wire.ForwardResult, error) {
	result := wire.ForwardResult(f)
	return &result, nil
}

// TestForwardedRequestPromisesWhatItsHomeSays guards against a kind that usually means "not run"
// becoming a promise that the process of the ticket has not given.
func TestForwardedRequestPromisesWhatItsHomeSays(t *testing.T) {
	for run, want := range map[string]kind.Run{"no": kind.RunNo, "yes": kind.RunYes, "unknown": kind.RunUnknown, "": kind.RunUnknown, "maybe": kind.RunUnknown} {
		tickets := NewTickets(once.Process{Host: "tema-1", Incarnation: 1}, fakeForwarder{Kind: kind.Overloaded.String(), Run: run}, once.DefaultOptions())
		other := once.NewTable(once.Process{Host: "tema-2", Incarnation: 7}, once.DefaultOptions())
		ticket, err := other.Issue(0, 3)
		require.NoError(t, err)
		serve := Chain(nil, ReportUndecidedAsUnknown(), AtMostOnce(tickets))
		_, err = serve(t.Context(), &Request{Ticket: ticket.String(), Deadline: time.Now().Add(time.Minute)})
		assert.Equal(t, kind.Overloaded, kind.Of(err))
		assert.Equal(t, want, kind.RunOf(err), "the home answered run %q", run)
	}
}

// TestRequestIsNotSentAgainAfterUnsureRefusal guards against a second run of a request whose holder
// has given a reason that usually means "not run", but says that it may have run.
func TestRequestIsNotSentAgainAfterUnsureRefusal(t *testing.T) {
	for _, run := range []kind.Run{kind.RunUnknown, kind.RunYes, ""} {
		fleet, _, r, ranked := newStagedRequest(t)
		for _, leaf := range ranked {
			fleet.refused[leaf] = kind.Overloaded
		}
		fleet.refusedRun = run
		r.Idempotent = false
		_, err := NewSubmitter(fleet, fleet, fleet).Serve(t.Context(), r)
		assert.Equal(t, kind.OutcomeUnknown, kind.Of(err), "the holder answered run %q", run)
		assert.Len(t, fleet.called, 1)
	}
}

// TestStagedContentWithoutResultMayHaveRun guards against "not run" for a content whose holder has
// ended its answers without a result.
func TestStagedContentWithoutResultMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, searcher, r, _ := newStagedRequest(t)
		fleet.silent = true
		err := runStaged(searcher, r)
		assert.Equal(t, kind.OutcomeUnknown, kind.Of(err))
		assert.Equal(t, kind.RunUnknown, kind.RunOf(err))
		assert.Len(t, fleet.called, 1)
	})
}
