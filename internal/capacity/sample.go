package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	// clockTicks is the number of clock ticks per second in which Linux reports
	// processor time.
	clockTicks = 100
	kibibyte   = 1 << 10
	// maxMetricsBytes bounds the metrics read from one node.
	maxMetricsBytes = 16 << 20
)

// Indices of fields of /proc/PID/stat, counted from 0 after the name of the program.
const (
	statUserTime   = 11
	statSystemTime = 12
	statThreads    = 17
)

// sample holds the cumulative resource usage of one process at one time.
type sample struct {
	// CPU is the processor time in seconds.
	CPU float64
	// Resident and Anonymous are in bytes.
	Resident  float64
	Anonymous float64
	Threads   float64
	// Read and Written are the bytes that the process read from and wrote to files and
	// sockets, and ReadCalls and WriteCalls the numbers of its system calls for that.
	Read       float64
	Written    float64
	ReadCalls  float64
	WriteCalls float64
}

func takeSample(pid int) (sample, error) {
	var s sample
	if err := s.readStat(pid); err != nil {
		return s, err
	}
	memory, err := readFields(pid, "smaps_rollup")
	if err != nil {
		return s, err
	}
	s.Resident = memory["Rss"] * kibibyte
	s.Anonymous = memory["Anonymous"] * kibibyte
	transfers, err := readFields(pid, "io")
	if err != nil {
		return s, err
	}
	s.Read = transfers["rchar"]
	s.Written = transfers["wchar"]
	s.ReadCalls = transfers["syscr"]
	s.WriteCalls = transfers["syscw"]
	return s, nil
}

func (s *sample) readStat(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= statThreads {
		return fmt.Errorf("process %d: stat has %d fields", pid, len(fields))
	}
	user, err := strconv.ParseFloat(fields[statUserTime], 64)
	if err != nil {
		return fmt.Errorf("process %d: user time: %w", pid, err)
	}
	system, err := strconv.ParseFloat(fields[statSystemTime], 64)
	if err != nil {
		return fmt.Errorf("process %d: system time: %w", pid, err)
	}
	s.CPU = (user + system) / clockTicks
	s.Threads, err = strconv.ParseFloat(fields[statThreads], 64)
	return err
}

// readFields reads the lines of the form "name: number" of a file in /proc/PID.
func readFields(pid int, name string) (map[string]float64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	values := map[string]float64{}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		key, text, found := strings.Cut(scanner.Text(), ":")
		fields := strings.Fields(text)
		if !found || len(fields) == 0 {
			continue
		}
		if value, err := strconv.ParseFloat(fields[0], 64); err == nil {
			values[key] = value
		}
	}
	return values, scanner.Err()
}

// metrics are the metrics of one node.
type metrics map[string]*dto.MetricFamily

func (p *process) metrics() (metrics, error) {
	response, err := opsClient.Get("http://" + p.settings.OpsListen + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", p.settings.Name, response.StatusCode)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", p.settings.Name, err)
	}
	return families, nil
}

// sums returns the sum of a metric for each value of a tag.
func (m metrics) sums(name, tag string) map[string]float64 {
	sums := map[string]float64{}
	for _, metric := range m[name].GetMetric() {
		sums[tagValue(metric, tag)] += metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
	}
	return sums
}

func (m metrics) sum(name string) float64 { return m.sums(name, "")[""] }

func tagValue(metric *dto.Metric, tag string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == tag {
			return pair.GetValue()
		}
	}
	return ""
}
