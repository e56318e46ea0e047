package catalog

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Credential identifies an API key without disclosing it. It is the SHA-256 of the key, so that
// keys themselves are neither kept nor sent to peers.
type Credential [sha256.Size]byte

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// Tenant is a customer whose requests are identified by its keys.
type Tenant struct {
	Name string
	// Credentials are those of the tenant's keys. A tenant that lacks one can send no
	// requests.
	Credentials []Credential
	// Priority replaces that of the route for requests of the tenant, if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst limit the requests over all nodes together: a token bucket of
	// Burst requests that is filled at RatePerSecond. There is no limit if RatePerSecond is zero.
	RatePerSecond float64
	Burst         float64
}

// Limited reports whether the number of the tenant's requests is limited.
func (t *Tenant) Limited() bool { return t.RatePerSecond > 0 }

const (
	// maxTenants bounds the tenants of a table, and maxCredentials those of one tenant.
	maxTenants     = 100_000
	maxCredentials = 1_000
	// maxRate is far above the rate that a fleet can serve.
	maxRate = 1e9
)

// Validate returns an error if the tenant can't be used.
func (t *Tenant) Validate() error {
	switch {
	case t.Name == "":
		return fmt.Errorf("name is missing")
	case len(t.Name) > maxNameBytes || strings.ContainsFunc(t.Name, func(r rune) bool { return r <= ' ' || r > '~' }):
		return fmt.Errorf("name is too long or not valid in a header")
	case len(t.Credentials) > maxCredentials:
		return fmt.Errorf("%d keys are more than %d", len(t.Credentials), maxCredentials)
	case t.HasPriority && t.Priority < 0:
		return fmt.Errorf("priority %d is negative", t.Priority)
	}
	for name, value := range map[string]float64{"rate": t.RatePerSecond, "burst": t.Burst} {
		if math.IsNaN(value) || value < 0 || value > maxRate {
			return fmt.Errorf("%s %v is not between 0 and %v", name, value, maxRate)
		}
	}
	return nil
}

// indexTenants validates the tenants and returns them by credential and by name. Errors name the
// tenants, never a key.
func indexTenants(tenants []*Tenant) (map[Credential]*Tenant, map[string]*Tenant, error) {
	if len(tenants) > maxTenants {
		return nil, nil, fmt.Errorf("%d tenants are more than %d", len(tenants), maxTenants)
	}
	byCredential, byName := map[Credential]*Tenant{}, make(map[string]*Tenant, len(tenants))
	for i, t := range tenants {
		if t == nil {
			return nil, nil, fmt.Errorf("tenant %d is empty", i+1)
		}
		if err := t.Validate(); err != nil {
			return nil, nil, fmt.Errorf("tenant %d (%.40q): %w", i+1, t.Name, err)
		}
		if byName[t.Name] != nil {
			return nil, nil, fmt.Errorf("tenant %q exists twice", t.Name)
		}
		byName[t.Name] = t
		for _, c := range t.Credentials {
			if other := byCredential[c]; other == t {
				return nil, nil, fmt.Errorf("tenant %q lists a key twice", t.Name)
			} else if other != nil {
				return nil, nil, fmt.Errorf("tenants %q and %q hold the same key", other.Name, t.Name)
			}
			byCredential[c] = t
		}
	}
	return byCredential, byName, nil
}

// TenantOf returns the tenant that holds a credential, or nil.
func (t *Table) TenantOf(c Credential) *Tenant { return t.byCredential[c] }

// Tenant returns the tenant with a name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.byTenantName[name] }

// HasLimits reports whether the requests of a tenant are limited.
func (t *Table) HasLimits() bool { return slices.ContainsFunc(t.Tenants, (*Tenant).Limited) }

// NeedsKey reports whether requests on a route must have a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Tenants) > 0 && !r.Open }
