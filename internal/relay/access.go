package relay

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// AccessOptions decide how old a node's knowledge of keys may be.
type AccessOptions struct {
	// MaxAge is the age of the knowledge from which requests with keys are refused, so that a
	// key that has been taken away is not accepted. Zero sets no limit.
	MaxAge time.Duration
	// MaxUnknownAge is the age from which an unknown key is not refused as invalid, since it may
	// have been added in the meantime.
	MaxUnknownAge time.Duration
	// Age returns an upper bound of the age of the routing table, and false if it is unknown.
	Age func() (time.Duration, bool)
}

// caller is the sender of a request, identified by its key.
type caller struct {
	tenant     *catalog.Tenant
	credential catalog.Credential
	// credit is what the request has taken from the tenant's quota, or nil.
	credit *Credit
}

// identify returns the caller of a request by the key in its headers, or nil if the request needs
// no key. Keys are looked up in the newest table, also while it is not in force yet.
func (h *Handler) identify(r *request, header http.Header) (*caller, error) {
	if !r.view.Newest.NeedsKey(r.route) {
		return nil, nil
	}
	key := h.dialect.ReadKey(header)
	if key == "" {
		if err := h.checkAge(h.options.Access.MaxAge); err != nil {
			return nil, err
		}
		return nil, kind.Errorf(kind.Unauthorized, "the request has no key, or several")
	}
	return h.identifyCredential(r.view, catalog.NewCredential(key))
}

// identifyCredential returns the caller that holds a credential.
func (h *Handler) identifyCredential(view *catalog.View, c catalog.Credential) (*caller, error) {
	if err := h.checkAge(h.options.Access.MaxAge); err != nil {
		return nil, err
	}
	if t := view.Newest.TenantOf(c); t != nil {
		return &caller{tenant: t, credential: c}, nil
	}
	if err := h.checkAge(h.options.Access.MaxUnknownAge); err != nil {
		return nil, err
	}
	return nil, kind.Errorf(kind.Unauthorized, "no tenant of table version %d holds the key", view.Newest.Version)
}

// checkAge returns an error if the routing table may be older than maxAge. Zero sets no limit.
func (h *Handler) checkAge(maxAge time.Duration) error {
	if maxAge <= 0 || h.options.Access.Age == nil {
		return nil
	}
	age, known := h.options.Access.Age()
	switch {
	case !known:
		return withRetryAfter(kind.Errorf(kind.StaleConfiguration, "the age of the routing table is unknown"), minRetryAfter)
	case age > maxAge:
		return withRetryAfter(kind.Errorf(kind.StaleConfiguration, "the routing table may be %v old, more than %v", age, maxAge), minRetryAfter)
	}
	return nil
}

// checkAccess returns an error if a request may not be sent to a leaf now: its key has been taken
// away since it arrived, or that can't be known any more.
func (h *Handler) checkAccess(r *request) error {
	if r.caller == nil {
		return nil
	}
	c, err := h.identifyCredential(h.catalog.View(), r.caller.credential)
	if err == nil && c.tenant.Name != r.caller.tenant.Name {
		return kind.Errorf(kind.Unauthorized, "the key now belongs to another tenant")
	}
	return err
}

// Stale reports whether the node refuses all requests with keys because its routing table may be
// too old.
func (h *Handler) Stale() bool {
	newest := h.catalog.View().Newest
	return newest != nil && len(newest.Tenants) > 0 && h.checkAge(h.options.Access.MaxAge) != nil
}

// accessFields returns the log fields of a request that failed about its tenant and the age of
// what decided on its key.
func (h *Handler) accessFields(r *request, k kind.Kind) []zap.Field {
	newest := r.view.Newest
	if newest == nil || len(newest.Tenants) == 0 {
		return nil
	}
	fields := []zap.Field{zap.Int64("version", newest.Version)}
	if name := r.tenantName(); name != "" {
		fields = append(fields, zap.String("tenant", name))
	}
	if k != kind.Unauthorized && k != kind.StaleConfiguration || h.options.Access.Age == nil {
		return fields
	}
	if age, known := h.options.Access.Age(); known {
		fields = append(fields, zap.Duration("table_age", age))
	}
	return fields
}

// Quotas grants credits to requests of tenants whose number of requests is limited.
type Quotas interface {
	// Take takes a credit for one request of a tenant. If it has none, it returns nil and the
	// time after which there will be one. It fails if no node that grants credits can be asked.
	Take(ctx context.Context, t *catalog.Tenant) (credit *Credit, wait time.Duration, err error)
	// Return returns the credit of a request that no leaf has run and none will.
	Return(c *Credit)
}

// Credit is the right to send one request of a tenant.
type Credit struct {
	Tenant string
	// Grantor is the address of the node that has granted the credit, and ID identifies the
	// grant there.
	Grantor string
	ID      uint64
}

// takeCredit takes a credit for a request of a limited tenant, or refuses the request.
func (h *Handler) takeCredit(ctx context.Context, r *request) error {
	if r.caller == nil || !r.caller.tenant.Limited() || h.options.Quotas == nil {
		return nil
	}
	credit, wait, err := h.options.Quotas.Take(ctx, r.caller.tenant)
	switch {
	case ctx.Err() != nil:
		if credit != nil {
			h.options.Quotas.Return(credit)
		}
		return kind.Errorf(kind.Canceled, "the caller disconnected: %w", context.Cause(ctx))
	case err != nil:
		return kind.Errorf(kind.Unavailable, "the tenant's quota is not known: %w", err)
	case credit == nil:
		return withRetryAfter(kind.Errorf(kind.QuotaExceeded, "the tenant has no credit for %v; its limit is %v requests/s with a burst of %v",
			wait, r.caller.tenant.RatePerSecond, r.caller.tenant.Burst), max(wait, minRetryAfter))
	}
	r.caller.credit = credit
	return nil
}

// returnCredit returns the credit of a request that has failed with err if no leaf has run it.
func (h *Handler) returnCredit(r *request, q *query, err error) {
	if err == nil || r.caller == nil || r.caller.credit == nil || kind.RunOf(err) != kind.RunNo || q.mayHaveRun() {
		return
	}
	h.options.Quotas.Return(r.caller.credit)
}
