package loadgen

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/periodic"
)

// Run performs a load run and returns its measurements. If ctx ends, the run stops
// and the result holds the measurements until then.
func Run(ctx context.Context, o Options) (*Result, error) {
	r, err := newRunner(o)
	if err != nil {
		return nil, err
	}
	defer r.client.close()
	return r.run(ctx), nil
}

func newRunner(o Options) (*runner, error) {
	o.setDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &runner{options: &o, client: newClient(&o), recorder: newRecorder(len(o.Mix)), start: time.Now()}, nil
}

// runner performs one run.
type runner struct {
	options  *Options
	client   *client
	recorder *recorder
	start    time.Time
	sent     atomic.Int64
	answered atomic.Int64
	inFlight atomic.Int64
	wg       sync.WaitGroup
	// targetRequestsBefore is the number of requests that leaves had received when the
	// measured part began.
	targetRequestsBefore int
	// measured is the length of the measured part.
	measured time.Duration
}

func (r *runner) run(ctx context.Context) *Result {
	stopProgress := r.reportProgress()
	interrupted := r.sendAll(ctx)
	r.measured = min(time.Since(r.start)-r.options.Warmup, r.options.Duration)
	r.wg.Wait()
	stopProgress()
	return r.result(interrupted)
}

// sendAll sends every request when it is due. It reports whether ctx ended first.
func (r *runner) sendAll(ctx context.Context) (interrupted bool) {
	schedule := newSchedule(r.options)
	measuring := false
	for {
		a, more := schedule.next()
		if !measuring && (!more || a.due >= r.options.Warmup) {
			measuring = true
			if !r.sleepUntil(ctx, r.options.Warmup) {
				return true
			}
			r.beginMeasured()
		}
		if !more {
			return !r.sleepUntil(ctx, min(schedule.due, r.options.Warmup+r.options.Duration))
		}
		if !r.sleepUntil(ctx, a.due) {
			return true
		}
		r.dispatch(ctx, a)
	}
}

func (r *runner) beginMeasured() {
	if r.options.TargetRequests != nil {
		r.targetRequestsBefore = r.options.TargetRequests()
	}
	if r.options.Started != nil {
		r.options.Started()
	}
}

// sleepUntil waits until a time relative to the start of the run. It reports false if
// ctx ended.
func (r *runner) sleepUntil(ctx context.Context, until time.Duration) bool {
	d := until - time.Since(r.start)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return periodic.Sleep(ctx, d) == nil
}

func (r *runner) dispatch(ctx context.Context, a arrival) {
	stream := &r.options.Mix[a.stream]
	if r.inFlight.Load() >= int64(r.options.MaxInFlight) {
		r.record(a, &exchange{stream: stream, outcome: Outcome{Kind: OutcomeNotSent, Run: "no"}})
		return
	}
	r.inFlight.Add(1)
	r.sent.Add(1)
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		r.exchange(ctx, a, stream)
	})
}

func (r *runner) exchange(ctx context.Context, a arrival, stream *Stream) {
	id := fmt.Sprintf("load-%d-%d", r.options.Seed, a.number)
	e := &exchange{stream: stream, sendDelay: time.Since(r.start) - a.due}
	answer, err := r.client.send(ctx, a.address, id, stream)
	if ctx.Err() != nil {
		return
	}
	e.latency = time.Since(r.start) - a.due
	e.answer = answer
	e.outcome = outcomeOf(answer, err)
	if err == nil {
		r.answered.Add(1)
		e.checkErr = answer.check(stream, id)
	}
	r.record(a, e)
}

// record adds an exchange to the measurements if it was due in the measured part.
func (r *runner) record(a arrival, e *exchange) {
	if a.due < r.options.Warmup {
		return
	}
	e.streamIndex = a.stream
	e.due = a.due - r.options.Warmup
	r.recorder.add(e)
}

func outcomeOf(answer *Answer, err error) Outcome {
	switch {
	case err != nil:
		return Outcome{Kind: OutcomeNoAnswer, Run: "unknown"}
	case answer.OK():
		return Outcome{Kind: OutcomeOK, Run: "yes"}
	default:
		return Outcome{Kind: answer.Kind, Run: answer.Run}
	}
}

func (r *runner) result(interrupted bool) *Result {
	o := r.options
	result := &Result{
		Seed:        o.Seed,
		Arrivals:    o.Arrivals,
		Rate:        o.Rate,
		Warmup:      o.Warmup,
		Duration:    max(r.measured, time.Nanosecond),
		Interrupted: interrupted,
		Sent:        int(r.sent.Load()),
	}
	r.recorder.fill(result, o.Mix)
	if o.TargetRequests != nil {
		result.Targets = r.targetLoad()
	}
	return result
}

func (r *runner) targetLoad() *TargetLoad {
	load := &TargetLoad{
		Requests: r.options.TargetRequests() - r.targetRequestsBefore,
		Needed:   r.recorder.neededCalls,
	}
	if load.Needed > 0 {
		load.Ratio = float64(load.Requests) / float64(load.Needed)
	}
	return load
}

// reportProgress calls the progress function at each interval until stop is called.
func (r *runner) reportProgress() (stop func()) {
	if r.options.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(r.options.ProgressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.options.Progress(r.progress())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (r *runner) progress() Progress {
	return Progress{
		Elapsed:  time.Since(r.start),
		Total:    r.options.Warmup + r.options.Duration,
		Sent:     int(r.sent.Load()),
		Answered: int(r.answered.Load()),
		InFlight: int(r.inFlight.Load()),
		P99:      r.recorder.p99(),
	}
}
