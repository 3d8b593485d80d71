package relay

import (
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/tenancy"
)

// Identify returns who sent a request with the given API keys, one for each header line.
func (r *Relay) Identify(keys []string) tenancy.Caller {
	v, err := r.config.InForce.Require()
	switch {
	case err != nil:
		return tenancy.Unconfigured(err)
	case v.Tenants == nil:
		return tenancy.Caller{}
	}
	return v.Tenants.Identify(keys, r.config.ConfigurationAge(), r.config.Revocation)
}

// Authenticate returns who sent the request with the given id on a route, or the refusal
// of the request. The API keys are those of the request's header lines.
func (r *Relay) Authenticate(id string, route rollout.Route, keys []string) (tenancy.Caller, error) {
	caller, refusal := r.Identify(keys).On(route)
	if refusal == nil {
		return caller, nil
	}
	e, counter := event.KeyUnverified, "requests_unverified"
	if refusal.Reason == rollout.ReasonUnauthorized {
		e, counter = event.KeyRefused, "requests_unauthorized"
	}
	r.config.Metrics.Counter(counter).Inc(1)
	r.config.Logger.Write(e, event.Fields{
		"Request": id, "Route": route.Name, "Keys": len(keys), "Version": caller.Version, "Age": caller.Age.Seconds(), "Reason": refusal.Reason,
	})
	return caller, refusal
}

// recordTenant records the metrics of a tenant's request.
func (r *Relay) recordTenant(s *servedRequest, took time.Duration, err error) {
	scope := r.config.Metrics.Tagged(map[string]string{"tenant": r.config.TenantLabels.Value(s.request.Tenant)})
	if err != nil {
		scope.Counter("tenant_requests_failed").Inc(1)
	}
	scope.Histogram("tenant_request_seconds", metrics.LatencyBuckets).RecordDuration(took)
	scope.Histogram("tenant_wait_seconds", metrics.LatencyBuckets).RecordDuration(s.waited)
}
