package fleet

import (
	"math"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/uptime"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/tenancy"
)

// freshness knows how old this VM's knowledge of the operators' topic is.
type freshness struct {
	// currentAsOf is when the newest read began that found the end of the topic, by
	// package uptime, or 0 if there was none.
	currentAsOf atomic.Int64
	// outdated reports whether the last log line said that the knowledge is too old.
	outdated bool
}

func (f *freshness) setCurrent(asOf time.Duration) { f.currentAsOf.Store(int64(asOf)) }

// ConfigurationAge returns the time for which the newest configuration that this VM knows
// may have been replaced unseen: since the newest read that found the end of the
// operators' topic began.
func (f *freshness) ConfigurationAge() time.Duration {
	asOf := f.currentAsOf.Load()
	if asOf == 0 {
		return math.MaxInt64
	}
	return uptime.Now() - time.Duration(asOf)
}

// setTenants sets the tenants of the configuration that comes into force. The caller must
// hold f.mu.
func (f *Fleet) setTenants(t rollout.RouteTable) {
	f.tenants = tenancy.New(t)
	if f.tenants == nil {
		return
	}
	f.config.Logger.Write(event.TenantsDeclared, event.Fields{"Version": t.Version, "Tenants": f.tenants.Tenants(), "Keys": f.tenants.Keys()})
	shared, keyless := f.tenants.Shared(), f.tenants.Keyless()
	if len(shared)+len(keyless) > 0 {
		f.config.Logger.Write(event.KeysUnusable, event.Fields{
			"Version": t.Version, "Shared": shared[:min(len(shared), maxLoggedServers)], "Keyless": keyless[:min(len(keyless), maxLoggedServers)],
		})
	}
}

// logFreshness logs when this VM's configuration begins and ceases to be too old to refuse
// API keys. The caller must hold f.mu.
func (f *Fleet) logFreshness() {
	age := f.ConfigurationAge()
	outdated := f.tenants != nil && age > tenancy.MaxAge
	if outdated == f.outdated {
		return
	}
	f.outdated = outdated
	e := event.ConfigurationCurrent
	if outdated {
		e = event.ConfigurationOld
	}
	f.config.Logger.Write(e, event.Fields{"Age": age.Seconds()})
}
