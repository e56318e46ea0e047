package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/once"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// unreachableForwarder is a Forwarder that cannot reach any host.
type unreachableForwarder struct{}

func (unreachableForwarder) Forward(context.Context, once.Process, *wire.Forward) (*wire.ForwardResult, error) {
	return nil, errors.New("no route")
}

func TestRefusedResendMayHaveRun(t *testing.T) {
	tickets := NewTickets(once.Process{Host: "tema-1", Incarnation: 1}, unreachableForwarder{}, once.DefaultOptions())
	ticket, err := tickets.Issue()
	require.NoError(t, err)
	runs := 0
	refuse := false
	outer := func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			if refuse {
				return nil, kind.Errorf(kind.Overloaded, "this host has too many requests in progress")
			}
			return next(ctx, r)
		}
	}
	serve := Chain(func(_ context.Context, r *Request) (*Answer, error) {
		require.True(t, r.MarkSent())
		runs++
		return &Answer{Body: []byte("{}")}, nil
	}, ReportUndecidedAsUnknown(), outer, AtMostOnce(tickets))
	request := func() *Request {
		return &Request{Ticket: ticket, Body: []byte(`{"note":1}`), Deadline: time.Now().Add(time.Minute)}
	}
	_, err = serve(context.Background(), request())
	require.NoError(t, err)
	refuse = true
	_, err = serve(context.Background(), request())
	require.Equal(t, kind.Overloaded, kind.Of(err))
	require.Equal(t, kind.RunUnknown, kind.RunOf(err), "the request has run")
	refuse = false
	answer, err := serve(context.Background(), request())
	require.NoError(t, err)
	require.True(t, answer.Replayed)
	require.Equal(t, 1, runs)
}

func TestUnreachableTicketMayHaveRun(t *testing.T) {
	tickets := NewTickets(once.Process{Host: "tema-1", Incarnation: 1}, unreachableForwarder{}, once.DefaultOptions())
	other := once.NewTable(once.Process{Host: "tema-2", Incarnation: 7}, once.DefaultOptions())
	ticket, err := other.Issue(0, 3)
	require.NoError(t, err)
	serve := Chain(nil, ReportUndecidedAsUnknown(), AtMostOnce(tickets))
	_, err = serve(context.Background(), &Request{Ticket: ticket.String(), Deadline: time.Now().Add(time.Minute)})
	require.Equal(t, kind.TicketUnknown, kind.Of(err))
	require.Equal(t, kind.RunUnknown, kind.RunOf(err))
}
