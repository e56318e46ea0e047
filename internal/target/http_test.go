package target_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/standin"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

func newLeaf(t *testing.T, o standin.LeafOptions) (*standin.Leaf, *target.HTTP) {
	t.Helper()
	o.Name = "d01-0"
	leaf, err := standin.NewLeaf(o, standin.NewSnapshot("1-first", 10, 1))
	require.NoError(t, err)
	t.Cleanup(leaf.Close)
	caller, err := target.NewHTTP(leaf.URL(), 4, memlimit.New(0))
	require.NoError(t, err)
	t.Cleanup(caller.Close)
	return leaf, caller
}

func newRequest() *target.Request {
	return &target.Request{
		ID:         "r1",
		Leaf:       "d01-0",
		Idempotent: true,
		Deadline:   time.Now().Add(10 * time.Second),
		Body:       []byte(`{"text":"entry"}`),
	}
}

func TestReport(t *testing.T) {
	_, caller := newLeaf(t, standin.LeafOptions{})
	report, err := caller.Report(context.Background())
	require.NoError(t, err)
	require.Equal(t, "1", report.Incarnation)
	require.Equal(t, target.StateCold, report.State)
	require.Equal(t, []target.Held{{Snapshot: "1-first", From: 0, To: standin.KeySpace}}, report.Held)
}

func TestCallFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		change func(r *target.Request)
		want   kind.Kind
	}{
		{"shed", standin.Faults{Refuse: "shed"}, nil, kind.LeafShed},
		{"cold", standin.Faults{Refuse: "cold"}, nil, kind.LeafCold},
		{"leaving", standin.Faults{Leaving: true}, nil, kind.LeafLeaving},
		{"unknown word", standin.Faults{Refuse: "busy"}, nil, kind.OutcomeUnknown},
		{"crossed", standin.Faults{CrossAnswers: true}, nil, kind.BadAnswer},
		{"truncated", standin.Faults{Truncate: true}, nil, kind.BadAnswer},
		{"poison", standin.Faults{Poison: "entry"}, nil, kind.ConnectionLost},
		{"snapshot", standin.Faults{}, func(r *target.Request) { r.Snapshot = "2-second" }, kind.SnapshotNotHeld},
		{"passed", standin.Faults{}, func(r *target.Request) { r.Deadline = time.Now().Add(-time.Second) }, kind.DeadlinePassed},
		{"slow", standin.Faults{Delay: time.Minute}, func(r *target.Request) { r.Deadline = time.Now().Add(50 * time.Millisecond) }, kind.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leaf, caller := newLeaf(t, standin.LeafOptions{})
			leaf.SetFaults(c.faults)
			r := newRequest()
			if c.change != nil {
				c.change(r)
			}
			_, err := caller.Call(context.Background(), r)
			require.Equal(t, c.want, kind.Of(err), "%v", err)
		})
	}
}

func TestCallAnswers(t *testing.T) {
	_, caller := newLeaf(t, standin.LeafOptions{})
	answer, err := caller.Call(context.Background(), newRequest())
	require.NoError(t, err)
	require.Equal(t, "1-first", answer.Snapshot)
	require.Equal(t, uint32(standin.KeySpace), answer.To)
	require.Contains(t, string(answer.Body), "entry-00000")
}

func TestCancelEndsTheWork(t *testing.T) {
	leaf, caller := newLeaf(t, standin.LeafOptions{ServiceTime: time.Minute})
	done := make(chan error, 1)
	go func() {
		_, err := caller.Call(context.Background(), newRequest())
		done <- err
	}()
	require.Eventually(t, func() bool { return leaf.Counts().Requests == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		caller.Cancel(context.Background(), "r1")
		return leaf.Counts().Canceled == 1
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, kind.Canceled, kind.Of(<-done))
}

// TestCallIsNotSentToAnotherProcess restarts a leaf after a call was admitted and before it
// is sent. The new process is cold, for which the call was not admitted.
func TestCallIsNotSentToAnotherProcess(t *testing.T) {
	leaf, caller := newLeaf(t, standin.LeafOptions{})
	r := newRequest()
	r.Incarnation = "1"
	_, err := caller.Call(context.Background(), r)
	require.NoError(t, err)
	leaf.Crash()
	require.NoError(t, leaf.Restart())
	require.Eventually(t, func() bool {
		open, _ := caller.Counts()
		return open == 0
	}, 10*time.Second, time.Millisecond)
	before := leaf.Counts().Requests
	_, err = caller.Call(context.Background(), r)
	require.Equal(t, kind.LeafCold, kind.Of(err), "%v", err)
	var failed *target.CallError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, "2", failed.Incarnation)
	require.Equal(t, before, leaf.Counts().Requests)
	r.Incarnation = "2"
	_, err = caller.Call(context.Background(), r)
	require.NoError(t, err)
}

// TestSilentNewConnectionIsNotADeadLeaf has a leaf that accepts connections and sends nothing
// on them, like a leaf that is busy for longer than a call may take.
func TestSilentNewConnectionIsNotADeadLeaf(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := target.NewHTTP("http://"+listener.Addr().String(), 4, memlimit.New(0))
	require.NoError(t, err)
	t.Cleanup(caller.Close)
	r := newRequest()
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err = caller.Call(context.Background(), r)
	require.Equal(t, kind.DeadlinePassed, kind.Of(err), "%v", err)
	require.Equal(t, kind.RunNo, kind.RunOf(err))
}

// TestWithdrawnCallIsNotSent guards against a call that is sent to its leaf once a connection is open,
// although nobody waits for the answer any more.
func TestWithdrawnCallIsNotSent(t *testing.T) {
	leaf, caller := newLeaf(t, standin.LeafOptions{})
	r := newRequest()
	withdrawn := make(chan struct{})
	close(withdrawn)
	r.Withdrawn = withdrawn
	_, err := caller.Call(context.Background(), r)
	require.Equal(t, kind.Canceled, kind.Of(err))
	require.Equal(t, kind.RunNo, kind.RunOf(err))
	require.Empty(t, leaf.Records())
}
