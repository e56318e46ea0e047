package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/loadgen"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

func newRun(name string, p99, ratio float64) Run {
	return Run{
		Name: name,
		Result: &loadgen.Result{
			Rate:     10,
			Duration: 2 * time.Second,
			Requests: 20,
			Goodput:  10,
			Latency:  loadgen.Latency{Count: 20, P50: 5, P99: p99},
			Coverage: loadgen.CoverageSummary{Answers: 20, Mean: 0.975, Full: 0.95, Lowest: 0.5},
			Outcomes: []loadgen.Outcome{{Kind: loadgen.OutcomeOK, Run: "yes", Count: 20}},
			Streams:  []loadgen.StreamResult{{Name: "adom/dispatch (submit)", Requests: 2}},
			Series:   []loadgen.Second{{Second: 0, Answers: 10, P99: p99}, {Second: 1, Answers: 10, P99: p99}},
			Targets:  &loadgen.TargetLoad{Requests: 210, Needed: 200, Ratio: ratio},
		},
		Leaves: &standin.Summary{Leaves: 3, Ran: 210},
		Events: []Event{{At: time.Second, Text: "out madina"}},
	}
}

func TestRatios(t *testing.T) {
	r := New("", []Run{newRun("chosen", 10, 1.05), newRun("hedge-off", 30, 1), newRun("none", 0, 0)})
	require.Len(t, r.Ratios, 2)
	require.InDelta(t, 3, r.Ratios[0].P99, 1e-9)
	require.InDelta(t, 1/1.05, r.Ratios[0].ExtraLoad, 1e-9)
	require.InDelta(t, 1, r.Ratios[0].Coverage, 1e-9)
	require.Zero(t, r.Ratios[1].P99)
}

func TestText(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, New("", []Run{newRun("chosen", 10, 1.05), newRun("hedge-off", 30, 1)}).WriteText(&out))
	for _, want := range []string{
		"run chosen: 20 requests in 2s at 10/s",
		"event at 1s: out madina",
		"97.50%    95.00%  50.00%",
		"adom/dispatch (submit)  2",
		"leaf requests 210 for 200 needed: 1.050",
		"ratios to chosen",
		"3 leaves: 210 ran",
	} {
		require.Contains(t, out.String(), want)
	}
}

func TestPlotsAreImages(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "plots")
	r := New("", []Run{newRun("chosen", 10, 1.05), newRun("hedge-off", 30, 1)})
	require.NoError(t, r.PlotAll(dir))
	for _, name := range []string{"latency.png", "coverage.png", "load.png", "series.png"} {
		file, err := os.Open(filepath.Join(dir, name))
		require.NoError(t, err)
		defer func() { _ = file.Close() }()
		image, err := png.Decode(file)
		require.NoError(t, err)
		require.Greater(t, image.Bounds().Dx(), 600)
	}
	require.Error(t, r.PlotSeries(filepath.Join(dir, "none", "series.png")))
}
