package holder

import (
	"context"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// maxCrashProbes is the greatest number of times that a leaf is polled after
	// it has closed a connection with a call in flight.
	maxCrashProbes     = 20
	crashProbeInterval = 50 * time.Millisecond
)

// reportCrash records the content of a call as suspect if the leaf closed the
// connection with the call in flight. For a call on trial it ends the trial
// instead, if the process has exited. It returns once the other hosts have the
// record or after a time limit, so that a resend of the request reaches hosts that
// check it.
func (l *leaf) reportCrash(c *Call, result *wire.LeafResult) {
	if !result.Died {
		return
	}
	if c.Permit == nil {
		l.holder.screen.Died(l.shardName(), c.Fingerprint)
		return
	}
	if l.hasExited() {
		l.holder.screen.EndTrial(*c.Permit, quarantine.TrialDied)
	}
}

func (l *leaf) shardName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry.ShardName()
}

// hasExited reports whether the process that ran a call has exited. It is taken to
// have exited if connecting to it fails, if it reports another incarnation than
// before, or if it reports and no earlier report is known.
func (l *leaf) hasExited() bool {
	before, known := l.lastReport()
	ended := false
	probe(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		report, err := l.caller.Report(ctx)
		switch {
		case err == nil:
			ended = !known || report.Incarnation != before.Incarnation
		case kind.Of(err) == kind.ConnectFailed:
			ended = true
		default:
			return false
		}
		return true
	})
	return ended
}

// probe calls ask until it returns true, at most maxCrashProbes times.
func probe(ask func() bool) {
	for range maxCrashProbes {
		if ask() {
			return
		}
		time.Sleep(crashProbeInterval)
	}
}

// probeAfterCrash polls a leaf that has closed a connection with a call in flight
// until it answers or refuses connections, at most maxCrashProbes times. The slots
// of calls that ended in a crash are thus freed before the calls' deadlines. The
// caller must hold mu.
func (l *leaf) probeAfterCrash() {
	if l.probing {
		return
	}
	l.probing = l.holder.tasks.Go(func() {
		probe(func() bool { return l.pollReport(context.Background()) })
		l.mu.Lock()
		defer l.mu.Unlock()
		l.probing = false
	})
}
