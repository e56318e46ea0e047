package holder

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/reqlog"
	"github.com/redwingshelf/redwingshelf/internal/screen"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

// fakeCaller loses the connection on every call, unless answers or err is set.
// Its reports fail with reportErr if set, and name incarnation otherwise.
type fakeCaller struct {
	reportErr   error
	incarnation string
	answers     bool
	// connected makes Counts return one open connection.
	connected bool
	calls     int
	// requestIncarnations holds the incarnation named in each request.
	requestIncarnations []string
	// err is returned by each call, if set.
	err error
}

func (l *fakeCaller) Call(_ context.Context, r *target.Request) (*target.Answer, error) {
	l.calls++
	l.requestIncarnations = append(l.requestIncarnations, r.Incarnation)
	if l.err != nil {
		return nil, l.err
	}
	if l.answers {
		return &target.Answer{Report: target.Report{Incarnation: l.incarnation, State: target.StateWarm}}, nil
	}
	return nil, &target.CallError{Died: true, Err: kind.Errorf(kind.ConnectionLost, "connection lost")}
}

func (l *fakeCaller) Report(context.Context) (*target.Report, error) {
	if l.reportErr != nil {
		return nil, l.reportErr
	}
	return &target.Report{Incarnation: l.incarnation, State: target.StateWarm}, nil
}

func (l *fakeCaller) Cancel(context.Context, string) {}
func (l *fakeCaller) SetConnections(int)             {}
func (l *fakeCaller) Counts() (open, retired int) {
	if l.connected {
		return 1, 0
	}
	return 0, 0
}
func (l *fakeCaller) Close() {}

// fullPermits grants all slots of a leaf to this node.
type fullPermits struct{ slots int }

func (w fullPermits) Permit(string) Permit {
	return Permit{Slots: w.slots, Connections: 1, HandlesCold: true}
}
func (w fullPermits) Begin(leaf string) (Permit, bool)   { return w.Permit(leaf), true }
func (w fullPermits) End(string)                         {}
func (w fullPermits) ReportVerdict(string, uint64, bool) {}
func (w fullPermits) RejectPeerVerdict(string)           {}

// secondHolderPermits grants a share without cold slots of a leaf that another
// holder reports as warm. It counts the calls of RejectPeerVerdict.
type secondHolderPermits struct {
	fullPermits
	rejectCalls int
}

func (s *secondHolderPermits) Permit(string) Permit {
	return Permit{Slots: s.slots, Connections: 1, PeerWarm: hashString("first"), PeerEpoch: 1}
}
func (s *secondHolderPermits) Begin(leaf string) (Permit, bool) { return s.Permit(leaf), true }
func (s *secondHolderPermits) RejectPeerVerdict(string)         { s.rejectCalls++ }

type allowAllScreen struct{}

func (allowAllScreen) Merge([]quarantine.Record) {}
func (allowAllScreen) MaySend(quarantine.Fingerprint, *quarantine.Permit) error {
	return nil
}
func (allowAllScreen) ReturnPermit(quarantine.Permit) {}
func (allowAllScreen) Known(quarantine.Fingerprint) []quarantine.Record {
	return nil
}
func (allowAllScreen) Died(string, quarantine.Fingerprint)                {}
func (allowAllScreen) EndTrial(quarantine.Permit, quarantine.TrialResult) {}

type fakeTargets struct{ caller target.Caller }

func (o fakeTargets) Address(*document.LeafEntry) (string, bool) { return "leaf", true }
func (o fakeTargets) Dial(string, int) (target.Caller, error)    { return o.caller, nil }

// TestLostCallsHoldTheirSlotsOnlyWhileTheLeafMayRunThem loses the connection to a
// leaf with one slot during a call and checks whether the next call gets the slot.
func TestLostCallsHoldTheirSlotsOnlyWhileTheLeafMayRunThem(t *testing.T) {
	refusedErr := kind.Errorf(kind.ConnectFailed, "connect: %w", syscall.ECONNREFUSED)
	timeoutErr := kind.Errorf(kind.ConnectFailed, "connect: %w", context.DeadlineExceeded)
	for name, test := range map[string]struct {
		after fakeCaller
		want  kind.Kind
	}{
		"process ended":          {fakeCaller{reportErr: refusedErr}, kind.ConnectionLost},
		"process replaced":       {fakeCaller{incarnation: "second"}, kind.ConnectionLost},
		"process still runs":     {fakeCaller{incarnation: "first"}, kind.Overloaded},
		"can't be reached":       {fakeCaller{reportErr: timeoutErr}, kind.Overloaded},
		"reports no incarnation": {fakeCaller{}, kind.Overloaded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &fakeCaller{incarnation: "first"}
				h := New(fullPermits{1}, allowAllScreen{}, fakeTargets{caller}, nopLog(), tally.NoopScope)
				defer h.Close()
				h.SetIndex(document.NewIndex(oneLeafDocument()))
				h.Held(t.Context(), []string{"t1-0"})
				*caller = test.after
				caller.connected = true
				call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(3 * time.Second)}
				require.Equal(t, kind.ConnectionLost.String(), h.Call(t.Context(), call).Kind)
				synctest.Wait()
				require.Equal(t, test.want.String(), h.Call(t.Context(), call).Kind)
			})
		})
	}
}

func nopLog() *reqlog.Log { return reqlog.New(zap.NewNop(), tally.NoopScope, time.Now) }

// TestOnlyAColdLeafRejectsPeerWarm checks that the second holder rejects
// the first holder's report of a warm leaf only after the leaf has become cold at the
// second holder, which a lost connection causes.
func TestOnlyAColdLeafRejectsPeerWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &fakeCaller{incarnation: "first", answers: true, connected: true}
		permits := &secondHolderPermits{fullPermits: fullPermits{2}}
		h := New(permits, allowAllScreen{}, fakeTargets{caller}, nopLog(), tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeafDocument()))
		h.Held(t.Context(), []string{"t1-0"})
		for range 30 {
			call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
			require.Empty(t, h.Call(t.Context(), call).Kind)
		}
		require.Zero(t, permits.rejectCalls)
		caller.answers = false
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		require.Equal(t, kind.ConnectionLost.String(), h.Call(t.Context(), call).Kind)
		require.Equal(t, 1, permits.rejectCalls)
		require.Equal(t, kind.LeafCold.String(), h.Call(t.Context(), call).Kind)
	})
}

// TestConditionOfALeafIsLogged warms a leaf and loses a call. The log must show
// on-call engineers why a leaf receives less work.
func TestConditionOfALeafIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		caller := &fakeCaller{incarnation: "first", answers: true, connected: true}
		log := reqlog.New(zap.New(core), tally.NoopScope, time.Now)
		h := New(fullPermits{2}, allowAllScreen{}, fakeTargets{caller}, log, tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeafDocument()))
		for range 60 {
			require.Empty(t, h.Call(t.Context(), &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}).Kind)
		}
		caller.answers = false
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		require.Equal(t, kind.ConnectionLost.String(), h.Call(t.Context(), call).Kind)
		var seen []string
		for _, line := range lines.FilterMessage("leaf condition changed").All() {
			fields := line.ContextMap()
			require.Equal(t, "t1-0", fields["leaf"])
			seen = append(seen, fmt.Sprint(fields["state"], " ", fields["cold_cause"], " ", fields["bound"]))
		}
		require.Equal(t, []string{"cold other_process 1", "warming other_process 2", "warm other_process 2", "cold connection_loss 1"}, seen)
	})
}

// TestLeafThatRestartedUnseenIsCold restarts a leaf while its second holder has no
// open connection to it.
func TestLeafThatRestartedUnseenIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &fakeCaller{incarnation: "first", answers: true}
		h := New(&secondHolderPermits{fullPermits: fullPermits{2}}, allowAllScreen{}, fakeTargets{caller}, nopLog(), tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeafDocument()))
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		require.Empty(t, h.Call(t.Context(), call).Kind)
		caller.incarnation = "second"
		require.Equal(t, kind.LeafCold.String(), h.Call(t.Context(), call).Kind)
		require.Equal(t, 1, caller.calls)
	})
}

// hookPermits calls onBegin between the grant of a slot and the send.
type hookPermits struct {
	fullPermits
	onBegin func()
}

func (s *hookPermits) Begin(leaf string) (Permit, bool) {
	s.onBegin()
	return s.Permit(leaf), true
}

// TestCallNamesTheIncarnationThatGrantedItsSlot restarts a leaf, and polls it, after a
// slot of the warm process was granted. The call must name the old incarnation, so that
// it is not sent to the new process, which can run only one call at a time.
func TestCallNamesTheIncarnationThatGrantedItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &fakeCaller{incarnation: "first", answers: true, connected: true}
		share := &hookPermits{fullPermits: fullPermits{2}, onBegin: func() {}}
		h := New(share, allowAllScreen{}, fakeTargets{caller}, nopLog(), tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeafDocument()))
		h.Held(t.Context(), []string{"t1-0"})
		share.onBegin = func() {
			caller.incarnation = "second"
			l, err := h.leaf("t1-0")
			require.NoError(t, err)
			require.True(t, l.pollReport(t.Context()))
		}
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		h.Call(t.Context(), call)
		require.Equal(t, []string{"first"}, caller.requestIncarnations)
	})
}

// TestLeafThatReturnsIsCold takes a data centre out of service and puts it back.
func TestLeafThatReturnsIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &fakeCaller{incarnation: "first", answers: true, connected: true}
		h := New(&secondHolderPermits{fullPermits: fullPermits{2}}, allowAllScreen{}, fakeTargets{caller}, nopLog(), tally.NoopScope)
		defer h.Close()
		doc := oneLeafDocument()
		h.SetIndex(document.NewIndex(doc))
		h.Held(t.Context(), []string{"t1-0"})
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		require.Empty(t, h.Call(t.Context(), call).Kind)
		out := *doc
		out.TakenOut = []string{"tema"}
		h.SetIndex(document.NewIndex(&out))
		require.Equal(t, kind.LeafLeaving.String(), h.Call(t.Context(), call).Kind)
		h.SetIndex(document.NewIndex(doc))
		require.Equal(t, kind.LeafCold.String(), h.Call(t.Context(), call).Kind)
	})
}

// refusingPermits refuses as many calls of Begin as refusals says.
type refusingPermits struct {
	fullPermits
	refusals int
}

func (b *refusingPermits) Begin(leaf string) (Permit, bool) {
	b.refusals--
	return b.Permit(leaf), b.refusals < 0
}

// TestTrialThatDidNotRunCanBeRepeated sends a suspect content twice under the same
// permit. The second call may run only if the first did not.
func TestTrialThatDidNotRunCanBeRepeated(t *testing.T) {
	shed := &target.CallError{Err: kind.Errorf(kind.LeafShed, "shed")}
	for name, test := range map[string]struct {
		share refusingPermits
		leaf  fakeCaller
		want  kind.Kind
		again string
	}{
		"shed by the leaf": {refusingPermits{}, fakeCaller{err: shed}, kind.LeafShed, ""},
		"share moved":      {refusingPermits{refusals: 1}, fakeCaller{answers: true}, kind.NotHolder, ""},
		"lost":             {refusingPermits{}, fakeCaller{}, kind.ConnectionLost, kind.Quarantined.String()},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := test.leaf
				caller.incarnation, caller.connected = "first", true
				test.share.fullPermits = fullPermits{2}
				peers := screen.New(screen.Options{
					Host: "n0", Peers: noPeers{}, Isolated: func() bool { return false }, Logger: zap.NewNop(), Scope: tally.NoopScope,
				})
				h := New(&test.share, peers, fakeTargets{&caller}, nopLog(), tally.NoopScope)
				defer h.Close()
				h.SetIndex(document.NewIndex(oneLeafDocument()))
				h.Held(t.Context(), []string{"t1-0"})
				content := quarantine.Fingerprint{1}
				peers.Died("s0", content)
				permit, err := peers.RequestPermit(t.Context(), content)
				require.NoError(t, err)
				call := &Call{Leaf: "t1-0", Fingerprint: content, Permit: permit, Deadline: time.Now().Add(time.Second)}
				require.Equal(t, test.want.String(), h.Call(t.Context(), call).Kind)
				caller.err, caller.answers = nil, true
				time.Sleep(2 * time.Second)
				call.Deadline = time.Now().Add(time.Second)
				result := h.Call(t.Context(), call)
				require.Equal(t, test.again, result.Kind)
				if test.again != "" {
					require.Len(t, result.Known, 1, "the result must carry the record, which the entry may not have")
				}
			})
		})
	}
}

// noPeers is a fleet of one host.
type noPeers struct{ screen.Peers }

func (noPeers) Hosts() []string { return nil }

func oneLeafDocument() *document.Document {
	doc := &document.Document{
		Revision:    1,
		DataCentres: []document.DataCentre{{Name: "tema", Region: "accra"}},
		Deployments: []document.Deployment{{
			Customer: "adom",
			Services: []document.Service{{
				Name: "dispatch",
				Leaf: document.LeafLimits{Slots: 1, Connections: 1},
				Instances: []document.Instance{{
					Name: "t1", DataCentre: "tema", Leaves: []document.Leaf{{Name: "t1-0", Shard: "s0"}}}},
			}},
		}},
	}
	doc.Normalize()
	return doc
}

// cancelingPermits grants all slots, and cancels the call that is about to use one.
type cancelingPermits struct {
	fullPermits
	cancel context.CancelFunc
}

func (p *cancelingPermits) Begin(leaf string) (Permit, bool) {
	p.cancel()
	return p.Permit(leaf), true
}

// TestCanceledCallIsNotSent guards against a call that reaches its leaf although it was canceled before
// it was sent.
func TestCanceledCallIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	caller := &fakeCaller{answers: true, connected: true}
	h := New(&cancelingPermits{fullPermits{2}, cancel}, allowAllScreen{}, fakeTargets{caller}, nopLog(), tally.NoopScope)
	defer h.Close()
	h.SetIndex(document.NewIndex(oneLeafDocument()))
	result := h.Call(ctx, &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Minute)})
	require.Equal(t, kind.Canceled.String(), result.Kind)
	require.Equal(t, string(kind.RunNo), result.Run)
	require.Zero(t, caller.calls)
	require.False(t, h.Busy())
}
