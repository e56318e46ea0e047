package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/redwingshelf/redwingshelf/internal/demo"
	"github.com/redwingshelf/redwingshelf/internal/loadgen"
)

// Defaults of load.
const (
	defaultLoadRate        = 100
	defaultLoadDuration    = 10 * time.Second
	defaultLoadWarmup      = 3 * time.Second
	defaultLoadSeed        = 1
	defaultLoadServiceTime = 5 * time.Millisecond
	defaultLoadProgress    = 5 * time.Second
)

// flag is one flag with its help and the function that adds it to a flag set.
type flag struct {
	name string
	help string
	add  func(f *pflag.FlagSet, name, help string)
}

// bind returns a function that adds a flag stored in dst, with a default value.
func bind[T any](add func(*pflag.FlagSet, *T, string, T, string), dst *T, value T) func(*pflag.FlagSet, string, string) {
	return func(f *pflag.FlagSet, name, help string) { add(f, dst, name, value, help) }
}

func (o *loadOptions) flags() []flag {
	type flags = pflag.FlagSet
	stringSlice, stringArray := (*flags).StringSliceVar, (*flags).StringArrayVar
	str, float, integer := (*flags).StringVar, (*flags).Float64Var, (*flags).IntVar
	duration, boolean, unsigned := (*flags).DurationVar, (*flags).BoolVar, (*flags).Uint64Var
	return []flag{
		{"addresses", "callers' addresses of running hosts", bind(stringSlice, &o.addresses, nil)},
		{"settings", "settings files of running hosts", bind(stringSlice, &o.settings, nil)},
		{"embedded", "number of nodes to start in this process", bind(integer, &o.embedded, 0)},
		{"document", "document with the services to query", bind(str, &o.document, "")},
		{"mix", "requests as CUSTOMER/SERVICE[/CLASS][=WEIGHT]; all of the document by default", bind(stringSlice, &o.mix, nil)},
		{"submit-share", "share of requests that must run at most once", bind(float, &o.submitShare, 0)},
		{"rate", "requests a second", bind(float, &o.rate, defaultLoadRate)},
		{"arrivals", `"poisson" or "constant"`, bind(str, &o.arrivals, string(loadgen.Poisson))},
		{"warmup", "time before the measured part", bind(duration, &o.warmup, defaultLoadWarmup)},
		{"duration", "length of the measured part", bind(duration, &o.duration, defaultLoadDuration)},
		{"requests", "end after that many requests; 0 sets no other bound than the duration", bind(integer, &o.requests, 0)},
		{"timeout", "deadline of each request; 0 takes the service's own", bind(duration, &o.timeout, 0)},
		{"seed", "seed of arrivals and stand-ins", bind(unsigned, &o.seed, defaultLoadSeed)},
		{"progress", "time between progress lines on standard error", bind(duration, &o.progress, defaultLoadProgress)},
		{"plot", "write the measures over time to this PNG file", bind(str, &o.plot, "")},
		{"plots", "write one PNG file for each measure into this directory", bind(str, &o.plots, "")},
		{"service-time", "time a stand-in leaf takes for a request", bind(duration, &o.serviceTime, defaultLoadServiceTime)},
		{"service-sigma", "standard deviation of the logarithm of the service time; 0 makes it constant", bind(float, &o.serviceSigma, 0)},
		{"stragglers", "slow requests of stand-in leaves as 1/EVERYxFACTOR", o.stragglers.add},
		{"connect-time", "time a stand-in leaf takes for a new connection", bind(duration, &o.connectTime, 0)},
		{"fall-time", "time for which a cold stand-in leaf refuses all requests after it got too many at once", bind(duration, &o.fallTime, 0)},
		{"cold-start", "stand-in leaves start cold", bind(boolean, &o.coldStart, false)},
		{"entries", "entries in the index of each service", bind(integer, &o.entries, demo.DefaultEntries)},
		{"event", "change during the run, TIME:ACTION=NAME; may be given again", bind(stringArray, &o.events, nil)},
		{"compare", `repeat with these policies: "baseline" for all of ` + join(demo.Baselines()), bind(stringSlice, &o.compare, nil)},
	}
}

func join(names []string) string { return strings.Join(names, ", ") }

func (o *loadOptions) addFlags(command *cobra.Command) {
	set := command.Flags()
	for _, f := range o.flags() {
		f.add(set, f.name, f.help)
	}
	command.MarkFlagsOneRequired("addresses", "settings", "embedded")
	command.MarkFlagsMutuallyExclusive("embedded", "addresses")
	command.MarkFlagsMutuallyExclusive("embedded", "settings")
	for _, name := range []string{"document", "settings"} {
		_ = command.MarkFlagFilename(name, "json", "jsonc")
	}
	_ = command.RegisterFlagCompletionFunc("compare", cobra.FixedCompletions(
		append(demo.Baselines(), compareAll), cobra.ShellCompDirectiveNoFileComp))
	command.PreRun = func(cmd *cobra.Command, _ []string) { o.given = givenFlags(cmd.Flags()) }
}

// givenFlags returns the flags that are set on the command line, as arguments.
func givenFlags(set *pflag.FlagSet) []string {
	var given []string
	set.Visit(func(f *pflag.Flag) {
		if values, many := f.Value.(pflag.SliceValue); many {
			for _, value := range values.GetSlice() {
				given = append(given, "--"+f.Name, value)
			}
			return
		}
		given = append(given, "--"+f.Name+"="+f.Value.String())
	})
	return given
}

// stragglers describes the slow requests of stand-in leaves. It implements pflag.Value.
type stragglers struct {
	every, factor int
}

func (s *stragglers) add(set *pflag.FlagSet, name, help string) { set.Var(s, name, help) }

// Set implements pflag.Value.
func (s *stragglers) Set(text string) error {
	read, err := fmt.Sscanf(text, "1/%dx%d", &s.every, &s.factor)
	if err != nil || read != 2 || s.every < 1 || s.factor < 1 {
		return fmt.Errorf("must be of the form 1/EVERYxFACTOR, such as 1/100x10")
	}
	return nil
}

// String implements pflag.Value.
func (s *stragglers) String() string {
	if s.every == 0 {
		return ""
	}
	return fmt.Sprintf("1/%dx%d", s.every, s.factor)
}

// Type implements pflag.Value.
func (s *stragglers) Type() string { return "1/NxF" }
