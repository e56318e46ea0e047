// Package experiment drives the decisions of package dispatch in virtual time: a fleet of nodes over
// modelled leaves and callers, with events such as slow leaves or a restart of all nodes. It needs no
// network and no clock, and a seed determines its result.
package experiment

import (
	"fmt"
	"os"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// maxBytes is the maximum size of an experiment file.
const maxBytes = 1 << 20

// Config describes an experiment. It is read from a JSON file with comments.
type Config struct {
	// Name is the title of the results.
	Name string `json:"name"`
	// Seconds is the length of a run, of which the first WarmUpSeconds are not counted.
	Seconds       float64 `json:"seconds"`
	WarmUpSeconds float64 `json:"warm_up_seconds"`
	// Seeds are the seeds of the runs of each policy.
	Seeds    []int64     `json:"seeds"`
	Fleet    FleetConfig `json:"fleet"`
	Network  Network     `json:"network"`
	Limits   Limits      `json:"limits"`
	Leaves   []LeafSet   `json:"leaves"`
	Requests []Requests  `json:"requests"`
	Events   []Event     `json:"events"`
	// Policies are compared with each other, each with the same seeds.
	Policies []Policy `json:"policies"`
}

// FleetConfig describes the nodes.
type FleetConfig struct {
	Nodes       int `json:"nodes"`
	DataCentres int `json:"data_centres"`
	// Gatherers is the number of nodes that gather for the others of their data centre; zero
	// means that each node gathers for itself.
	Gatherers int `json:"gatherers"`
	// Cores is the processor time of a node, and MessageMicros the processor time on one core
	// that the answer of a leaf takes.
	Cores         float64 `json:"cores"`
	MessageMicros float64 `json:"message_us"`
	// CatalogLagMS is how long after a change of a leaf or node the nodes know it.
	CatalogLagMS float64 `json:"catalog_lag_ms"`
}

// Network holds the latencies, one way.
type Network struct {
	WithinMS  float64 `json:"within_data_centre_ms"`
	BetweenMS float64 `json:"between_data_centres_ms"`
	CallersMS float64 `json:"callers_ms"`
}

// Limits are the limits that all nodes share.
type Limits struct {
	RetryRatio    float64 `json:"retry_ratio"`
	RetrySlack    float64 `json:"retry_slack"`
	RetryWindowMS float64 `json:"retry_window_ms"`
	ColdRatio     float64 `json:"cold_ratio"`
	ColdSlack     float64 `json:"cold_slack"`
}

// LeafSet is a set of shards with equal leaves.
type LeafSet struct {
	Name     string `json:"name"`
	Shards   int    `json:"shards"`
	Replicas int    `json:"replicas"`
	// DataCentres is the number of data centres with leaves; zero means all.
	DataCentres int `json:"data_centres"`
	Slots       int `json:"slots"`
	// Queue is the number of requests that wait for a slot; a leaf refuses those beyond it.
	Queue int `json:"queue"`
	// Connections is the number of connections that a leaf accepts from all nodes, and
	// ConnectMS the time that it takes to accept one.
	Connections int     `json:"connections"`
	ConnectMS   float64 `json:"connect_ms"`
	// A leaf stands still for PauseMS in each PauseEveryMS; zero means never.
	PauseMS      float64 `json:"pause_ms"`
	PauseEveryMS float64 `json:"pause_every_ms"`
	// A leaf that has started is cold for ColdMS: its work takes ColdFactor times as long, and
	// it bears ColdPerSecond requests per second.
	ColdMS        float64 `json:"cold_ms"`
	ColdFactor    float64 `json:"cold_factor"`
	ColdPerSecond float64 `json:"cold_per_second"`
}

// Requests describes one class of requests. A request goes to all shards of its leaves.
type Requests struct {
	Name      string  `json:"name"`
	Leaves    string  `json:"leaves"`
	PerSecond float64 `json:"per_second"`
	// WaveMS is the time between waves of requests; zero means that they are independent.
	WaveMS float64 `json:"wave_ms"`
	// WorkMS is the mean work of a leaf; half of it is fixed, half is exponential.
	WorkMS      float64 `json:"work_ms"`
	ObjectiveMS float64 `json:"objective_ms"`
	DeadlineMS  float64 `json:"deadline_ms"`
	MinCoverage float64 `json:"min_coverage"`
	MaxAttempts int     `json:"max_attempts"`
	// NonIdempotent is set for requests that must not be repeated.
	NonIdempotent bool `json:"non_idempotent"`
	Priority      int  `json:"priority"`
	// CallerRetries is how often a caller sends a refused request again, or one that has
	// failed and is idempotent. If AtOnce is set, it ignores the time that a refusal states.
	CallerRetries int  `json:"caller_retries"`
	AtOnce        bool `json:"at_once"`
}

// The kinds of events.
const (
	// KindSlow makes the work of leaves take Factor times as long.
	KindSlow = "slow_leaves"
	// KindDark makes leaves silent: they accept requests and never answer.
	KindDark = "dark_leaves"
	// KindDown makes leaves refuse connections; they come back cold.
	KindDown = "leaves_down"
	// KindCold restarts leaves, which are cold after it.
	KindCold = "cold_leaves"
	// KindShed makes leaves refuse all requests, with RetryAfterMS if that is set.
	KindShed = "shedding_leaves"
	// KindLeaving makes leaves say that they leave, and end after the time of the event.
	KindLeaving = "leaving_leaves"
	// KindBurst multiplies the arrivals by Factor.
	KindBurst = "burst"
	// KindRollingStop stops nodes one after the other and starts them again. A node gets no new
	// requests before it stops.
	KindRollingStop = "rolling_stop"
	// KindNodesDown ends nodes, which start again after the time of the event.
	KindNodesDown = "nodes_down"
)

var kinds = map[string]bool{
	KindSlow: true, KindDark: true, KindDown: true, KindCold: true, KindShed: true, KindLeaving: true, KindBurst: true, KindNodesDown: true,
	KindRollingStop: true,
}

// Event is a disruption.
type Event struct {
	Kind       string  `json:"kind"`
	AtSeconds  float64 `json:"at_seconds"`
	ForSeconds float64 `json:"for_seconds"`
	// Leaves is the set of leaves that are affected, or empty for all sets. If Shards is
	// positive, only the first shards are affected. Fraction is the fraction of these leaves,
	// or of the nodes.
	Leaves       string  `json:"leaves"`
	Fraction     float64 `json:"fraction"`
	Shards       int     `json:"shards"`
	Factor       float64 `json:"factor"`
	RetryAfterMS float64 `json:"retry_after_ms"`
}

// Policy names a variant of the decisions.
type Policy struct {
	Name       string `json:"name"`
	NoHedges   bool   `json:"no_hedges"`
	NoRetries  bool   `json:"no_retries"`
	NoRefusals bool   `json:"no_refusals"`
	// Stragglers hedges the last calls of a gather early, as the nodes of divided gathers do.
	Stragglers bool `json:"stragglers"`
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Parse decodes an experiment strictly and checks it. The error is a *jsonc.Error that lists every
// problem with its line and field.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	report := jsonc.Decode(data, maxBytes, c)
	if report.Decoded() {
		c.check(report)
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// LoadFile parses the experiment in a file.
func LoadFile(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	c, err := Parse(data)
	return c, jsonc.WithFile(err, path)
}
