package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/spf13/cobra"
)

// maxLogLine bounds the length of a log line, in bytes.
const maxLogLine = 1 << 20

// stateEvents are the log messages that report a change of a node's state or view.
// Trace shows the last of them that precede a request's last line. The messages must
// equal those that the packages node, relaynode and statesync log.
var stateEvents = map[string]bool{
	"table in force": true, "zone taken out": true, "following a source": true, "source does not answer": true,
	"store answers again": true, "bounds shared out": true, "node started": true, "node ready": true, "node stopping": true,
	"history of the store is lost, reading a snapshot":      true,
	"changes in the store are too many, reading a snapshot": true,
	"outage of the store has ended, holding lapsed leaves":  true,
}

// logLine is one line of a node's log.
type logLine struct {
	time, host, message, request string
	fields                       map[string]any
}

func newTraceCommand() *cobra.Command {
	var before int
	command := &cobra.Command{
		Use:   "trace REQUEST",
		Short: "Show what nodes logged about one request",
		Long: `Trace reads logs of nodes from standard input and prints the lines about one
request in the order of time, together with the last state changes of the nodes that
handled it. Text before the first brace of a line is ignored, so that logs which a
collector has prefixed can be read. It exits with 1 if no line names the request.`,
		Example: `  redwingctl trace 9c41d07be2a35f68 < node.log
  cat node-*.log | redwingctl trace 9c41d07be2a35f68 --before 10`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runTrace(cmd.InOrStdin(), cmd.OutOrStdout(), args[0], before)
		},
	}
	command.Flags().IntVar(&before, "before", 5, "number of earlier state changes to show for each node")
	return command
}

func runTrace(in io.Reader, out io.Writer, request string, before int) error {
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	lastTime := map[string]string{}
	for _, l := range lines {
		if l.request == request {
			lastTime[l.host] = l.time
		}
	}
	if len(lastTime) == 0 {
		return fmt.Errorf("no line names request %q; nodes limit the rate of lines about single requests, see the request_events counters", request)
	}
	for _, l := range selectLines(lines, request, lastTime, before) {
		if _, err := fmt.Fprintln(out, l.text()); err != nil {
			return err
		}
	}
	return nil
}

// readLog returns the lines that are JSON objects, in the order of time.
func readLog(in io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	var lines []logLine
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[brace:]), &fields) != nil {
			continue
		}
		l := logLine{fields: fields}
		for name, dst := range map[string]*string{"ts": &l.time, "host": &l.host, "msg": &l.message, "request": &l.request} {
			*dst, _ = fields[name].(string)
			delete(fields, name)
		}
		delete(fields, "level")
		lines = append(lines, l)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	return lines, scanner.Err()
}

// selectLines returns the lines about a request, and the last state changes of each
// node in lastTime that precede that node's last line about the request.
func selectLines(lines []logLine, request string, lastTime map[string]string, before int) []logLine {
	changes := map[string][]int{}
	for i, l := range lines {
		if end, handled := lastTime[l.host]; handled && stateEvents[l.message] && l.time <= end {
			changes[l.host] = append(changes[l.host], i)
		}
	}
	keep := map[int]bool{}
	for _, list := range changes {
		for _, i := range list[max(len(list)-before, 0):] {
			keep[i] = true
		}
	}
	var selected []logLine
	for i, l := range lines {
		if keep[i] || l.request == request {
			selected = append(selected, l)
		}
	}
	return selected
}

// text formats a line with its fields sorted by name.
func (l *logLine) text() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	text := fmt.Sprintf("%s  %s  %s", l.time, l.host, l.message)
	for _, name := range names {
		text += fmt.Sprintf("  %s=%v", name, l.fields[name])
	}
	return text
}
