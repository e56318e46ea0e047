package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

const ms = time.Millisecond

func item(id uint64, class int, customer string) Item {
	return queryItem(id, 1, class, customer)
}

func queryItem(id, query uint64, class int, customer string) Item {
	return Item{ID: id, Query: query, Customer: customer, Class: class, Deadline: time.Second, Estimate: 10 * ms}
}

func ids(items []Item) []uint64 {
	var out []uint64
	for _, it := range items {
		out = append(out, it.ID)
	}
	return out
}

func TestSubmit(t *testing.T) {
	first, last := uint64(1), uint64(2)
	if rank(Item{Query: first}) > rank(Item{Query: last}) {
		first, last = last, first
	}
	late := item(9, 0, "a")
	late.Deadline = 5 * ms
	past := item(9, 0, "a")
	past.Deadline = 0
	cases := []struct {
		name    string
		cfg     Config
		before  []Item
		it      Item
		verdict Verdict
		kind    kind.Kind
		refused []Refusal
	}{
		{"free slot", Config{Slots: 1}, nil, item(9, 0, "a"), Start, 0, nil},
		{"no slots", Config{}, nil, item(9, 0, "a"), Queued, 0, nil},
		{"busy", Config{Slots: 1}, []Item{item(1, 0, "a")}, item(9, 0, "a"), Queued, 0, nil},
		{"deadline passed", Config{Slots: 1}, nil, past, Shed, kind.DeadlinePassed, nil},
		{"too little time to serve", Config{Slots: 1}, nil, late, Shed, kind.DeadlinePassed, nil},
		{"same ID twice", Config{Slots: 1}, []Item{item(9, 0, "a")}, item(9, 0, "a"), Shed, kind.AlreadyRunning, nil},
		{
			"not expected to start within the maximum wait", Config{Slots: 1, MaxWait: 15 * ms},
			[]Item{item(1, 0, "a"), item(2, 0, "a")}, item(9, 0, "a"), Shed, kind.Overloaded, nil,
		},
		{
			"full", Config{Slots: 1, MaxQueue: 1},
			[]Item{item(1, 0, "a"), item(2, 0, "a")}, item(9, 0, "a"), Shed, kind.Overloaded, nil,
		},
		{
			"full, the call of the lower priority is refused", Config{Slots: 1, MaxQueue: 1},
			[]Item{item(1, 0, "a"), item(2, 1, "a")}, item(9, 0, "a"), Queued, 0, []Refusal{{2, kind.Overloaded}},
		},
		{
			"full, the call of the customer with more service is refused", Config{Slots: 1, MaxQueue: 2},
			[]Item{item(1, 0, "a"), item(2, 0, "a"), item(3, 0, "a")}, item(9, 0, "b"), Queued, 0, []Refusal{{3, kind.Overloaded}},
		},
		{
			"full, the queued query of the higher rank is refused", Config{Slots: 1, MaxQueue: 1},
			[]Item{item(1, 0, "a"), queryItem(2, last, 0, "a")}, queryItem(9, first, 0, "a"), Queued, 0, []Refusal{{2, kind.Overloaded}},
		},
		{
			"full, the new query of the higher rank is shed", Config{Slots: 1, MaxQueue: 1},
			[]Item{item(1, 0, "a"), queryItem(2, first, 0, "a")}, queryItem(9, last, 0, "a"), Shed, kind.Overloaded, nil,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := New(tc.cfg)
			for _, it := range tc.before {
				s.Submit(0, it)
			}
			d := s.Submit(0, tc.it)
			require.Equal(t, tc.verdict, d.Verdict)
			require.Equal(t, tc.kind, d.Kind)
			require.ElementsMatch(t, tc.refused, d.Refused)
		})
	}
}

func TestServiceOrder(t *testing.T) {
	s := New(Config{Slots: 1})
	s.Submit(0, item(1, 1, "a"))
	s.Submit(0, item(2, 1, "a"))
	s.Submit(0, item(3, 1, "a"))
	s.Submit(0, item(4, 1, "b"))
	s.Submit(0, item(5, 0, "a"))
	var order []uint64
	for id := uint64(1); id != 0; {
		next := ids(s.Done(0, id).Start)
		id = 0
		if len(next) > 0 {
			id = next[0]
			order = append(order, id)
		}
	}
	require.Equal(t, []uint64{5, 4, 2, 3}, order, "by class, then by service received")
}

func TestSetSlotsDrains(t *testing.T) {
	s := New(Config{Slots: 2})
	for id := uint64(1); id <= 4; id++ {
		s.Submit(0, item(id, 0, "a"))
	}
	require.Empty(t, s.SetSlots(0, 1).Start)
	require.Equal(t, 2, s.Running())
	require.Empty(t, s.Done(0, 1).Start)
	require.Equal(t, []uint64{3}, ids(s.Done(0, 2).Start))
	require.Equal(t, []uint64{4}, ids(s.SetSlots(0, 2).Start))
}

func TestCancelAndRelease(t *testing.T) {
	s := New(Config{Slots: 1})
	s.Submit(0, item(1, 0, "a"))
	s.Submit(0, item(2, 0, "a"))
	s.Submit(0, item(3, 0, "a"))
	require.True(t, s.Cancel(2), "a queued call has not run")
	require.False(t, s.Cancel(1), "a running call keeps its slot")
	require.False(t, s.Cancel(2))
	require.Equal(t, []uint64{3}, ids(s.Release(5*ms, 1).Start))
	require.Zero(t, s.ServiceTime(), "a released call has no service time")
	s.Done(15*ms, 3)
	require.Equal(t, 10*ms, s.ServiceTime())
}

func TestExpire(t *testing.T) {
	s := New(Config{Slots: 1})
	s.Submit(0, item(1, 0, "a"))
	s.Submit(0, item(2, 0, "a"))
	short := item(3, 0, "b")
	short.Deadline = 25 * ms
	s.Submit(0, short)
	next, ok := s.NextExpiry()
	require.True(t, ok)
	require.Equal(t, 15*ms, next)
	require.Equal(t, []Refusal{{3, kind.Overloaded}}, s.Expire(next).Refused)
	require.Equal(t, []Refusal{{2, kind.Overloaded}}, s.Done(DefaultMaxWait, 1).Refused)
	require.Zero(t, s.Queued())
	require.Zero(t, s.Running())
}

func TestClassesAndFairnessUnderOverload(t *testing.T) {
	customers := []string{"heavy", "heavy", "heavy", "heavy", "heavy", "heavy", "heavy", "heavy", "heavy", "light"}
	l := offered(1, 2, 10*ms, 100*ms)
	l.shape = func(rng *rand.Rand, it *Item) {
		it.Class = 1
		if rng.IntN(10) == 0 {
			it.Class = 0
		}
		it.Customer = customers[rng.IntN(len(customers))]
	}
	r := simulate(New(Config{Slots: 2}), l.calls())
	t.Logf("served: class 0 light %.3f heavy %.3f, class 1 light %.3f heavy %.3f",
		r.answeredShare(0, "light"), r.answeredShare(0, "heavy"), r.answeredShare(1, "light"), r.answeredShare(1, "heavy"))
	require.Greater(t, r.answeredShare(0, "light"), 0.95)
	require.Greater(t, r.answeredShare(0, "heavy"), 0.95)
	require.Greater(t, r.answeredShare(1, "light"), 0.9)
	require.Less(t, r.answeredShare(1, "heavy"), 0.6)
}

func TestFlowsAreBounded(t *testing.T) {
	s := New(Config{Slots: 1, Utilization: 1})
	for id := uint64(1); id <= 10*maxFlows; id++ {
		s.Submit(0, item(id, 0, fmt.Sprint(id)))
		s.Release(0, id)
	}
	require.LessOrEqual(t, len(s.fair.finish), maxFlows)
	require.LessOrEqual(t, len(s.gate.flows), maxFlows+1)
}

func BenchmarkCallOnBusyLeaf(b *testing.B) {
	for _, queued := range []uint64{0, 8, 63} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			s := New(Config{Slots: 1, MaxWait: time.Hour, Utilization: 10})
			running, id := uint64(1), uint64(1)
			for ; id <= queued+1; id++ {
				s.Submit(0, Item{ID: id, Deadline: never})
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += ms
				s.Submit(now, Item{ID: id, Deadline: never})
				id++
				s.NextExpiry()
				running = s.Done(now, running).Start[0].ID
			}
		})
	}
}
