package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const olivera = "../../examples/olivera.jsonc"

func TestLoadEmbedded(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "plots")
	code, out, errOut := run("load", "--embedded", "2", "--document", adom, "--rate", "200", "--warmup", "100ms",
		"--duration", "1m", "--requests", "60", "--timeout", "20s", "--service-time", "1ms", "--submit-share", "0.1",
		"--mix", "adom/dispatch/fitter=2,adom/depot-ledger", "--event", "0s:out=tema", "--compare", "hedge-off",
		"--plots", dir, "--output", "json")
	require.Equal(t, ExitOK, code, errOut)
	require.Contains(t, errOut, "run hedge-off: 2 nodes")
	var r loadReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Runs, 2)
	require.Len(t, r.Ratios, 1)
	require.Contains(t, r.Command, "--event 0s:out=tema")
	for _, run := range r.Runs {
		require.Equal(t, 60, run.Result.Sent)
		require.Zero(t, run.Leaves.SubmitsRunAgain)
		require.Len(t, run.Result.Streams, 4)
	}
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 4)
}

func TestLoadRefusesWrongFlags(t *testing.T) {
	embedded := []string{"--embedded", "1", "--document", adom}
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "at least one of the flags"},
		{[]string{"--addresses", "127.0.0.1:1"}, "--document is needed"},
		{[]string{"--addresses", "127.0.0.1:1", "--mix", "adom"}, "is not of the form"},
		{[]string{"--addresses", "127.0.0.1:1", "--mix", "a/b=x"}, `weight "x" is not a number`},
		{[]string{"--addresses", "127.0.0.1:1", "--mix", "a/b", "--event", "1s:out=tema"}, "need --embedded"},
		{append(embedded, "--addresses", "127.0.0.1:1"), "none of the others can be"},
		{append(embedded, "--mix", "adom/lost"), "the document has no adom/lost"},
		{append(embedded, "--event", "1s:burn=tema"), `action "burn" does not exist`},
		{append(embedded, "--compare", "none"), `baseline "none" is not one of`},
		{append(embedded, "--stragglers", "10"), "must be of the form 1/EVERYxFACTOR"},
	} {
		code, _, errOut := run(append([]string{"load"}, c.args...)...)
		require.Equal(t, ExitUsage, code, c.args)
		require.Contains(t, errOut, c.want)
	}
}

func TestLoadFindsHostsThatDoNotAnswer(t *testing.T) {
	code, out, _ := run("load", "--addresses", "127.0.0.1:1", "--mix", "adom/dispatch", "--rate", "1000", "--requests", "5", "--warmup", "0s")
	require.Equal(t, ExitFinding, code)
	require.Contains(t, out, "no_answer")
}

func TestDemoRunsBothExamples(t *testing.T) {
	code, out, errOut := run("demo", "--document", adom+","+olivera)
	require.Equal(t, ExitOK, code, errOut)
	require.Contains(t, out, "search of adom/dispatch")
	require.Contains(t, out, "search of olivera/judging")
	require.Contains(t, out, "snapshot 1-judging")
	require.Contains(t, out, "coverage 65536 of 65536 (100.00%)")
	require.Contains(t, out, "the leaves ran the request 1 time(s)")
}
