package tenancy

import (
	"time"

	"lagoonlink.org/rollout"
)

const (
	// MaxAge is how old a VM's knowledge may be at most when it declares a key unknown. A
	// VM that follows the configuration learns of a change within 1.1 s: a read that
	// misses it and the next one, each of which waits up to 0.5 s.
	MaxAge = 1500 * time.Millisecond
	// retryAfter is the recommended delay while a VM's knowledge is too old: the time of
	// one read.
	retryAfter = 500 * time.Millisecond
)

// Policy states how removed keys are treated.
type Policy struct {
	// StrictRevoke refuses all requests with keys while the VM's knowledge is older than
	// RevokeAfter. Otherwise keys keep their last meaning.
	StrictRevoke bool
	RevokeAfter  time.Duration
}

// Caller is who sent a request, as far as its API key shows. The zero value is a caller
// of a deployment without tenants.
type Caller struct {
	// Enforced reports whether the configuration declares tenants.
	Enforced bool
	// Tenant is the tenant that holds the key, or empty.
	Tenant string
	// Refusal refuses what needs a tenant. It is nil if there is a tenant or none is
	// needed.
	Refusal *rollout.Failure
	// Version and Age state which configuration decided and how old the VM's knowledge
	// was then, for logs.
	Version rollout.ConfigurationVersion
	Age     time.Duration
}

// Unconfigured returns the caller of a request to a VM that knows no configuration.
func Unconfigured(err error) Caller { return Caller{Refusal: rollout.FailureOf(err)} }

// Identify returns who sent a request with the given API keys, one for each header line.
// The VM knew at the given age that the table was the newest.
func (t *Table) Identify(keys []string, age time.Duration, p Policy) Caller {
	if t == nil {
		return Caller{}
	}
	c := Caller{Enforced: true, Tenant: t.find(keys), Version: t.version, Age: age}
	switch {
	case len(keys) > 0 && p.StrictRevoke && age > p.RevokeAfter:
		c.Tenant = ""
		c.Refusal = c.outdated("API keys aren't accepted")
	case c.Tenant == "" && age > MaxAge:
		c.Refusal = c.outdated("the API key may be new")
	case c.Tenant == "":
		c.Refusal = rollout.Refuse(rollout.ReasonUnauthorized, "no tenant of configuration version %d holds the API key", t.version)
	}
	return c
}

func (c Caller) outdated(detail string) *rollout.Failure {
	return rollout.Refuse(rollout.ReasonConfigurationOutdated, "%s: configuration version %d was the newest %s ago", detail, c.Version, c.Age).WithRetryAfter(retryAfter)
}

// On returns the caller of a request on a route, or the refusal of the request. On a
// public route nobody's key counts.
func (c Caller) On(route rollout.Route) (Caller, *rollout.Failure) {
	if c.Enforced && route.Public {
		c.Tenant, c.Refusal = "", nil
	}
	return c, c.Refusal
}

// MayUse returns nil if the caller may use a job of the given owner, which is empty for a
// job without a tenant, and otherwise the refusal. Another tenant's job is unknown to the
// caller. A VM whose knowledge is too old doesn't say so, because the key may have moved.
func (c Caller) MayUse(id, owner string) *rollout.Failure {
	switch {
	case owner == "" || owner == c.Tenant:
		return nil
	case c.Refusal != nil:
		return c.Refusal
	case !c.Enforced:
		return nil
	case c.Age > MaxAge:
		return c.outdated("the API key may have moved")
	}
	return unknownJob(id)
}

// MayRepeat returns nil if a submission of the caller may count as a repeat of a job of the
// given owner, and otherwise the refusal.
func (c Caller) MayRepeat(id, owner string) *rollout.Failure {
	f := c.MayUse(id, owner)
	if f != nil && f.Reason == rollout.ReasonStepUnknown {
		return rollout.Refuse(rollout.ReasonJobConflict, "the ID of job %s can't be used", id)
	}
	return f
}

// UnknownJob returns the refusal of a call about a job that doesn't exist. A caller without
// a tenant doesn't learn that it doesn't.
func (c Caller) UnknownJob(id string) *rollout.Failure {
	if c.Enforced && c.Refusal != nil {
		return c.Refusal
	}
	return unknownJob(id)
}

func unknownJob(id string) *rollout.Failure {
	return rollout.Refuse(rollout.ReasonStepUnknown, "job %s is unknown", id)
}
