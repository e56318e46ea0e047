package entry

import (
	"context"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = append(
	tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.4, 28),
	30*time.Second,
)

// coverageBuckets are the bounds of the coverage histograms, in percent.
var coverageBuckets = tally.ValueBuckets{0, 10, 25, 50, 75, 90, 95, 99, 99.99, 100}

// Measure counts requests by customer, class and outcome, and records their
// latency and coverage in a histogram for each customer and class.
func Measure(scope tally.Scope) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			answer, err := next(ctx, r)
			tags := map[string]string{"customer": "unknown", "class": "unknown", "service": "unknown"}
			if r.Target != nil {
				tags = map[string]string{"customer": r.Customer, "class": r.Class, "service": r.Service}
			}
			tagged := scope.Tagged(tags)
			tagged.Histogram("request_latency", latencyBuckets).RecordDuration(time.Since(r.Received))
			if answer != nil && answer.Result != nil && answer.Result.Fraction.Known() {
				fraction := answer.Result.Fraction
				tagged.Histogram("coverage_percent", coverageBuckets).
					RecordValue(100 * float64(fraction.Covered) / float64(fraction.Total))
			}
			outcome := "ok"
			if err != nil {
				outcome = kind.Of(err).String()
			}
			tagged.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
			return answer, err
		}
	}
}

// Limit refuses requests beyond max in progress.
func Limit(max int) Filter {
	slots := make(chan struct{}, max)
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				return next(ctx, r)
			default:
				return nil, kind.Errorf(kind.Overloaded, "this host has %d requests in progress", max)
			}
		}
	}
}

// Identify looks up the customer and the service in the document in force, and
// sets the class to the last one of the service if the request has none.
func Identify(router Router) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			index := router.Index()
			if index == nil {
				return nil, kind.Errorf(kind.NoConfiguration, "no configuration is in force yet")
			}
			if !index.HasCustomer(r.Customer) {
				return nil, kind.Errorf(kind.UnknownCustomer, "customer %q does not exist", r.Customer)
			}
			service := index.Service(r.Customer, r.Service)
			if service == nil {
				return nil, kind.Errorf(kind.UnknownService, "service %q of customer %q does not exist", r.Service, r.Customer)
			}
			classes := service.Policy.Classes
			if r.Class == "" && len(classes) > 0 {
				r.Class = classes[len(classes)-1]
			}
			if !slices.Contains(classes, r.Class) {
				return nil, kind.Errorf(kind.BadRequest, "class %q does not exist in service %q", r.Class, r.Service)
			}
			r.Target = service
			r.Index = index
			return next(ctx, r)
		}
	}
}

// Deadline sets the deadline, and refuses a request whose deadline has passed.
func Deadline() Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			timeout := r.Target.Policy.Deadline()
			if r.Timeout > 0 && r.Timeout < timeout {
				timeout = r.Timeout
			}
			r.Deadline = r.Received.Add(timeout)
			if r.Timeout < 0 || !time.Now().Before(r.Deadline) {
				return nil, kind.Errorf(kind.DeadlinePassed, "the request's deadline has passed")
			}
			ctx, cancel := context.WithDeadline(ctx, r.Deadline)
			defer cancel()
			return next(ctx, r)
		}
	}
}
