package ctl

import (
	"context"
	"fmt"
	"io"
)

func (r *demoResult) writeText(w io.Writer) error {
	out := lineWriter{w: w}
	out.printf("document %s, %v", r.Document, r.Identity)
	out.printf("platform %s, %d leaves", r.Platform, r.Leaves)
	for _, h := range r.Hosts {
		out.printf("host %s: callers %s, operators %s", h.Name, h.Address, h.OpsAddress)
	}
	for _, step := range []struct {
		title  string
		answer *queryAnswer
	}{
		{fmt.Sprintf("search of %s/%s: %s", r.Customer, r.Service, demoSearch), r.Search},
		{fmt.Sprintf("request that must run at most once, ticket %s: %s", r.Ticket, demoSubmit), r.Submit},
		{"the same request again under the same ticket", r.Resent},
	} {
		out.printf("\n%s", step.title)
		if out.err == nil {
			out.err = step.answer.writeText(w)
		}
	}
	out.printf("\nthe leaves ran the request %d time(s)\n", r.Runs)
	return out.err
}

// keepRunning prints example commands and waits until ctx is done.
func (r *demoResult) keepRunning(ctx context.Context, w io.Writer) error {
	out := lineWriter{w: w}
	path := fmt.Sprintf("/v1/customers/%s/services/%s", r.Customer, r.Service)
	out.printf("running until interrupted; try:")
	for _, h := range r.Hosts {
		out.printf("  curl -d '%s' 'http://%s%s/search?limit=%d'", demoSearch, h.Address, path, demoHits)
	}
	first := r.Hosts[0]
	out.printf("  curl -X POST http://%s/v1/tickets", first.Address)
	out.printf("  curl -H 'Idempotency-Key: TICKET' -d '%s' 'http://%s%s/requests?key=%s'", demoSubmit, first.Address, path, demoKey)
	out.printf("  curl http://%s/status", first.OpsAddress)
	out.printf("  curl http://%s/metrics", first.OpsAddress)
	if out.err == nil {
		<-ctx.Done()
	}
	return out.err
}
