package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/loadgen"
	"github.com/redwingshelf/redwingshelf/internal/report"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

func loadExample(t testing.TB, name string) *document.Document {
	t.Helper()
	loaded, err := document.LoadFile("../../examples/" + name + ".jsonc")
	require.NoError(t, err)
	return loaded.Document
}

func TestExperimentOnBothExamples(t *testing.T) {
	for name, centre := range map[string]string{"adom": "madina", "olivera": "florida"} {
		t.Run(name, func(t *testing.T) {
			doc := loadExample(t, name)
			run, err := Experiment{
				Name: "chosen",
				Site: Options{Document: doc, Nodes: 3, Leaf: standin.LeafOptions{StartWarm: true}, Entries: 200},
				Load: loadgen.Options{
					Mix:         WithSubmits(Mix(doc), 0.1),
					Rate:        200,
					Duration:    time.Minute,
					MaxRequests: 60,
					Timeout:     20 * time.Second,
					Seed:        1,
				},
				Events: []Event{{Action: "out", Argument: centre}, {At: time.Millisecond, Action: "rollout", Argument: serviceOf(doc)}},
			}.Run(context.Background())
			require.NoError(t, err)
			require.Equal(t, 60, run.Result.Requests)
			require.Empty(t, run.Result.WrongExamples)
			require.Positive(t, run.Result.Latency.Count)
			require.Positive(t, run.Leaves.SubmitsRun)
			require.Zero(t, run.Leaves.SubmitsRunAgain)
			require.Zero(t, run.Leaves.OverSlots)
			require.NoError(t, report.New("", []report.Run{run, run}).PlotAll(t.TempDir()))
		})
	}
}

func serviceOf(doc *document.Document) string {
	return serviceKey(document.NewIndex(doc).Services()[0])
}

func TestParseEvent(t *testing.T) {
	e, err := ParseEvent("1.5s:out=madina")
	require.NoError(t, err)
	require.Equal(t, Event{At: 1500 * time.Millisecond, Action: "out", Argument: "madina"}, e)
	for text, want := range map[string]string{
		"out=madina":     "is not of the form",
		"1s:out":         "is not of the form",
		"soon:in=madina": `"soon" is not a time`,
		"1s:burn=madina": `action "burn" does not exist`,
	} {
		_, err := ParseEvent(text)
		require.ErrorContains(t, err, want, text)
	}
}

func TestWithBaselineDoesNotModifyTheDocument(t *testing.T) {
	doc := loadExample(t, "adom")
	for _, name := range Baselines() {
		changed, err := WithBaseline(doc, name)
		require.NoError(t, err)
		require.NotEqual(t, doc, changed)
		require.Equal(t, loadExample(t, "adom"), doc)
		data, err := document.Encode(changed)
		require.NoError(t, err)
		_, err = document.Parse(data)
		require.NoError(t, err)
	}
	_, err := WithBaseline(doc, "none")
	require.ErrorContains(t, err, `baseline "none" is not one of`)
}

func TestCheckerFindsWrongAnswers(t *testing.T) {
	c := newChecker(30)
	snapshot := standin.NewSnapshot("1-first", 30, 1)
	answer := func(n int, text string) *loadgen.Answer {
		a := &loadgen.Answer{Snapshot: "1-first", Coverage: loadgen.Coverage{Known: true, Covered: 1, Total: 1}}
		for _, e := range snapshot.Entries[:n] {
			a.Hits = append(a.Hits, loadgen.Hit{ID: e.ID, Body: []byte(`"` + text + " text of " + e.ID + `"`)})
		}
		return a
	}
	require.NoError(t, c.check(answer(searchLimit, "1-first")))
	require.ErrorContains(t, c.check(answer(searchLimit-1, "1-first")), "not the best 20")
	require.ErrorContains(t, c.check(answer(searchLimit, "2-second")), "of snapshot")
	twice := answer(searchLimit, "1-first")
	twice.Hits[1] = twice.Hits[0]
	require.ErrorContains(t, c.check(twice), "twice")
	partial := answer(3, "1-first")
	partial.Coverage.Total = 2
	require.NoError(t, c.check(partial))
}

func TestTakenOutWatchCountsLateRequests(t *testing.T) {
	w := newTakenOutWatch()
	received := 5
	count := func() int { return received }
	w.stop("tema", count)
	w.start("tema", count)
	w.stop("tema", count)
	require.Zero(t, w.total())
	w.start("tema", count)
	w.atGraceEnd["tema"] = received
	received = 7
	require.Equal(t, []string{"tema"}, w.centres())
	w.stop("tema", count)
	require.Equal(t, 2, w.total())
	require.Empty(t, w.centres())
}
