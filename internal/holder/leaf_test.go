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

// lostLeaf loses every call unless it answers. Its reports fail with report, or name incarnation.
type lostLeaf struct {
	report      error
	incarnation string
	answers     bool
	// connected reports an open connection.
	connected bool
	calls     int
	// sentTo are the incarnations that the calls were meant for.
	sentTo []string
	// err is the failure of each call, if set.
	err error
}

func (l *lostLeaf) Call(_ context.Context, r *target.Request) (*target.Answer, error) {
	l.calls++
	l.sentTo = append(l.sentTo, r.Incarnation)
	if l.err != nil {
		return nil, l.err
	}
	if l.answers {
		return &target.Answer{Report: target.Report{Incarnation: l.incarnation, State: target.StateWarm}}, nil
	}
	return nil, &target.CallError{Died: true, Err: kind.Errorf(kind.ConnectionLost, "connection lost")}
}

func (l *lostLeaf) Report(context.Context) (*target.Report, error) {
	if l.report != nil {
		return nil, l.report
	}
	return &target.Report{Incarnation: l.incarnation, State: target.StateWarm}, nil
}

func (l *lostLeaf) Cancel(context.Context, string) {}
func (l *lostLeaf) SetConnections(int)             {}
func (l *lostLeaf) Counts() (open, retired int) {
	if l.connected {
		return 1, 0
	}
	return 0, 0
}
func (l *lostLeaf) Close() {}

// wholeShare gives all slots of a leaf to this node.
type wholeShare struct{ slots int }

func (w wholeShare) Permit(string) Permit {
	return Permit{Slots: w.slots, Connections: 1, HandlesCold: true}
}
func (w wholeShare) Begin(leaf string) (Permit, bool) { return w.Permit(leaf), true }
func (w wholeShare) End(string)                       {}
func (w wholeShare) Judge(string, uint64, bool)       {}
func (w wholeShare) Refute(string)                    {}

// secondShare is a share without cold slots of a leaf that another holder has
// warmed. It counts refutations.
type secondShare struct {
	wholeShare
	refuted int
}

func (s *secondShare) Permit(string) Permit {
	return Permit{Slots: s.slots, Connections: 1, PeerWarm: hashOf("first"), PeerEpoch: 1}
}
func (s *secondShare) Begin(leaf string) (Permit, bool) { return s.Permit(leaf), true }
func (s *secondShare) Refute(string)                    { s.refuted++ }

type openScreen struct{}

func (openScreen) Merge([]quarantine.Record) {}
func (openScreen) MaySend(quarantine.Fingerprint, *quarantine.Permit) error {
	return nil
}
func (openScreen) ReturnPermit(quarantine.Permit) {}
func (openScreen) Known(quarantine.Fingerprint) []quarantine.Record {
	return nil
}
func (openScreen) Died(string, quarantine.Fingerprint)             {}
func (openScreen) EndTrial(quarantine.Permit, quarantine.TrialEnd) {}

type oneTarget struct{ caller target.Caller }

func (o oneTarget) Address(*document.LeafEntry) (string, bool) { return "leaf", true }
func (o oneTarget) Dial(string, int) (target.Caller, error)    { return o.caller, nil }

// TestLostCallsHoldTheirSlotsOnlyWhileTheLeafMayRunThem loses a call at a leaf
// with one slot and looks whether the next call gets the slot.
func TestLostCallsHoldTheirSlotsOnlyWhileTheLeafMayRunThem(t *testing.T) {
	refusedErr := kind.Errorf(kind.ConnectFailed, "connect: %w", syscall.ECONNREFUSED)
	timeoutErr := kind.Errorf(kind.ConnectFailed, "connect: %w", context.DeadlineExceeded)
	for name, test := range map[string]struct {
		after lostLeaf
		want  kind.Kind
	}{
		"process ended":     {lostLeaf{report: refusedErr}, kind.ConnectionLost},
		"process replaced":  {lostLeaf{incarnation: "second"}, kind.ConnectionLost},
		"process goes on":   {lostLeaf{incarnation: "first"}, kind.Overloaded},
		"can't be reached":  {lostLeaf{report: timeoutErr}, kind.Overloaded},
		"names no identity": {lostLeaf{}, kind.Overloaded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &lostLeaf{incarnation: "first"}
				h := New(wholeShare{1}, openScreen{}, oneTarget{caller}, quietLog(), tally.NoopScope)
				defer h.Close()
				h.SetIndex(document.NewIndex(oneLeaf()))
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

func quietLog() *reqlog.Log { return reqlog.New(zap.NewNop(), tally.NoopScope, time.Now) }

// TestOnlyAColdLeafRejectsPeerWarm uses a leaf that the first holder has
// warmed, then loses a call.
func TestOnlyAColdLeafRejectsPeerWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &lostLeaf{incarnation: "first", answers: true, connected: true}
		permits := &secondShare{wholeShare: wholeShare{2}}
		h := New(permits, openScreen{}, oneTarget{caller}, quietLog(), tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeaf()))
		h.Held(t.Context(), []string{"t1-0"})
		for range 30 {
			call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
			require.Empty(t, h.Call(t.Context(), call).Kind)
		}
		require.Zero(t, permits.refuted)
		caller.answers = false
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		require.Equal(t, kind.ConnectionLost.String(), h.Call(t.Context(), call).Kind)
		require.Equal(t, 1, permits.refuted)
		require.Equal(t, kind.LeafCold.String(), h.Call(t.Context(), call).Kind)
	})
}

// TestConditionOfALeafIsLogged warms a leaf and loses a call. On-call engineers see why a
// leaf gets less work from the log alone.
func TestConditionOfALeafIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		caller := &lostLeaf{incarnation: "first", answers: true, connected: true}
		log := reqlog.New(zap.New(core), tally.NoopScope, time.Now)
		h := New(wholeShare{2}, openScreen{}, oneTarget{caller}, log, tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeaf()))
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

// TestLeafThatRestartedUnseenIsCold uses a leaf as its second holder. It restarts
// while no connection is open.
func TestLeafThatRestartedUnseenIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &lostLeaf{incarnation: "first", answers: true}
		h := New(&secondShare{wholeShare: wholeShare{2}}, openScreen{}, oneTarget{caller}, quietLog(), tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeaf()))
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		require.Empty(t, h.Call(t.Context(), call).Kind)
		caller.incarnation = "second"
		require.Equal(t, kind.LeafCold.String(), h.Call(t.Context(), call).Kind)
		require.Equal(t, 1, caller.calls)
	})
}

// turningShare lets something happen between the grant of a slot and the send.
type turningShare struct {
	wholeShare
	onBegin func()
}

func (s *turningShare) Begin(leaf string) (Permit, bool) {
	s.onBegin()
	return s.Permit(leaf), true
}

// TestCallNamesTheIncarnationThatGrantedItsSlot has a leaf restart, and another call learn of
// it, after a slot of its warm process was granted. The new process bears one call at once.
func TestCallNamesTheIncarnationThatGrantedItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &lostLeaf{incarnation: "first", answers: true, connected: true}
		share := &turningShare{wholeShare: wholeShare{2}, onBegin: func() {}}
		h := New(share, openScreen{}, oneTarget{caller}, quietLog(), tally.NoopScope)
		defer h.Close()
		h.SetIndex(document.NewIndex(oneLeaf()))
		h.Held(t.Context(), []string{"t1-0"})
		share.onBegin = func() {
			caller.incarnation = "second"
			l, err := h.leaf("t1-0")
			require.NoError(t, err)
			require.True(t, l.poll(t.Context()))
		}
		call := &Call{Leaf: "t1-0", Deadline: time.Now().Add(time.Second)}
		h.Call(t.Context(), call)
		require.Equal(t, []string{"first"}, caller.sentTo)
	})
}

// TestLeafThatReturnsIsCold takes a data centre out and back in.
func TestLeafThatReturnsIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &lostLeaf{incarnation: "first", answers: true, connected: true}
		h := New(&secondShare{wholeShare: wholeShare{2}}, openScreen{}, oneTarget{caller}, quietLog(), tally.NoopScope)
		defer h.Close()
		doc := oneLeaf()
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

// busyShare can't be used for the first calls.
type busyShare struct {
	wholeShare
	refusals int
}

func (b *busyShare) Begin(leaf string) (Permit, bool) {
	b.refusals--
	return b.Permit(leaf), b.refusals < 0
}

// TestTrialThatDidNotRunCanBeRepeated sends a suspect content twice under the same permit,
// since the first trial did not run.
func TestTrialThatDidNotRunCanBeRepeated(t *testing.T) {
	shed := &target.CallError{Err: kind.Errorf(kind.LeafShed, "shed")}
	for name, test := range map[string]struct {
		share busyShare
		leaf  lostLeaf
		want  kind.Kind
		again string
	}{
		"shed by the leaf": {busyShare{}, lostLeaf{err: shed}, kind.LeafShed, ""},
		"share moved":      {busyShare{refusals: 1}, lostLeaf{answers: true}, kind.NotHolder, ""},
		"lost":             {busyShare{}, lostLeaf{}, kind.ConnectionLost, kind.Quarantined.String()},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := test.leaf
				caller.incarnation, caller.connected = "first", true
				test.share.wholeShare = wholeShare{2}
				peers := screen.New(screen.Options{
					Host: "n0", Peers: noPeers{}, Blind: func() bool { return false }, Logger: zap.NewNop(), Scope: tally.NoopScope,
				})
				h := New(&test.share, peers, oneTarget{&caller}, quietLog(), tally.NoopScope)
				defer h.Close()
				h.SetIndex(document.NewIndex(oneLeaf()))
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
					require.Len(t, result.Known, 1, "the entry may not know why")
				}
			})
		})
	}
}

// noPeers is a fleet of one host.
type noPeers struct{ screen.Peers }

func (noPeers) Hosts() []string { return nil }

func oneLeaf() *document.Document {
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
