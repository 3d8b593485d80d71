package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
)

// loadDivisor limits the concurrent loads of a pool: one in loadDivisor of its
// engines may load at the same time. The platform slows loads down when more than
// about a fifth of the engines load.
const loadDivisor = 5

// Fleet is the state of a pool from which the VM that sends the pool's orders plans
// the next ones.
type Fleet struct {
	// Engines are the engines that accept orders, without those that are leaving.
	Engines []FleetEngine
	Models  []FleetModel
}

// FleetEngine is one engine and the versions that it has loaded.
type FleetEngine struct {
	Name   rollout.ServerName
	Loaded map[rollout.ModelName]rollout.WeightVersion
	// OrderBlocked reports that an order to the engine is in progress or that it
	// must not get a new one yet.
	OrderBlocked bool
	// Loading reports that the engine is probably loading weights now.
	Loading bool
	// Target is the model and version of the order in progress.
	Target rollout.NamedVersion
}

// FleetModel is one model and its newest version.
type FleetModel struct {
	Name rollout.ModelName
	// Newest is the newest version.
	Newest rollout.WeightVersion
	// MaxVersionsBehind is the maximum number of versions that a sample may be
	// behind the newest.
	MaxVersionsBehind uint64
	Mode              rollout.SwapMode
}

// Swap is an order to send to an engine.
type Swap struct {
	Server  rollout.ServerName
	Model   rollout.ModelName
	Version rollout.WeightVersion
	Mode    rollout.SwapMode
}

// PlanSwaps returns the orders to send now. Each new version goes first to engines
// whose version of the model is no longer usable, so that engines that generate its
// samples are not interrupted. It goes to only as many engines as each model needs
// to have its share together with the older versions that are still usable.
func PlanSwaps(f Fleet) []Swap {
	if len(f.Models) == 0 || len(f.Engines) == 0 {
		return nil
	}
	slots := max(1, len(f.Engines)/loadDivisor)
	for _, e := range f.Engines {
		if e.Loading {
			slots--
		}
	}
	assigned := map[rollout.ServerName]bool{}
	var swaps []Swap
	for slots > 0 {
		m, ok := f.largestDeficit(swaps)
		if !ok {
			return swaps
		}
		e, ok := f.candidate(m, assigned)
		if !ok {
			return swaps
		}
		assigned[e.Name] = true
		swaps = append(swaps, Swap{Server: e.Name, Model: m.Name, Version: m.Newest, Mode: m.Mode})
		slots--
	}
	return swaps
}

func (f *Fleet) enginesPerModel() int { return max(1, len(f.Engines)/len(f.Models)) }

// enginesPerVersion returns how many engines should load the newest version of a
// model. That is enginesPerModel at most: engines with an older version that is
// still usable serve the model too, so a larger number would let the step of one
// model spread over more engines than its share while other models have none. As
// many engines are left to each older usable version, so that their runs are not
// interrupted.
func (f *Fleet) enginesPerVersion(m FleetModel) int {
	usableVersions := int(m.MaxVersionsBehind) + 1
	return max(1, min(f.enginesPerModel(), (len(f.Engines)+usableVersions-1)/usableVersions))
}

// unusableWeight is the weight of a missing usable engine relative to a missing
// engine with the newest version.
const unusableWeight = 3

// largestDeficit returns the model whose engines fall short of their intended
// numbers by the largest fraction, and reports whether any model falls short.
// Missing usable engines weigh more than missing engines with the newest version,
// because a step has to wait for the former. The swaps count as done.
func (f *Fleet) largestDeficit(swaps []Swap) (FleetModel, bool) {
	var model FleetModel
	largest := 0.0
	for _, m := range f.Models {
		newest, usable := 0, 0
		for _, e := range f.Engines {
			v := e.expectedVersion(m.Name)
			if v >= m.Newest {
				newest++
			}
			if m.usable(v) {
				usable++
			}
		}
		for _, s := range swaps {
			if s.Model == m.Name {
				newest++
				usable++
			}
		}
		newestDeficit := max(0, float64(f.enginesPerVersion(m)-newest)/float64(f.enginesPerVersion(m)))
		usableDeficit := max(0, float64(f.enginesPerModel()-usable)/float64(f.enginesPerModel()))
		if deficit := newestDeficit + unusableWeight*usableDeficit; deficit > largest {
			model, largest = m, deficit
		}
	}
	return model, largest > 0
}

// expectedVersion returns the version of a model that the engine has, or will have
// after the order in progress.
func (e *FleetEngine) expectedVersion(m rollout.ModelName) rollout.WeightVersion {
	if e.OrderBlocked && e.Target.Model == m {
		return max(e.Target.Version, e.Loaded[m])
	}
	return e.Loaded[m]
}

// usable reports whether samples may be generated with the given version.
func (m *FleetModel) usable(v rollout.WeightVersion) bool {
	return uint64(v)+m.MaxVersionsBehind >= uint64(m.Newest)
}

// candidate returns the engine that should load the newest version of a model next,
// and reports whether there is one. Engines without a usable version come first,
// then those with the oldest one; among equals, the engine that serves the fewest
// models is preferred.
func (f *Fleet) candidate(m FleetModel, assigned map[rollout.ServerName]bool) (FleetEngine, bool) {
	var eligible []FleetEngine
	for _, e := range f.Engines {
		if !assigned[e.Name] && !e.OrderBlocked && e.Loaded[m.Name] < m.Newest {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return FleetEngine{}, false
	}
	// usableVersion returns the engine's version, or 0 if it is not usable.
	usableVersion := func(e FleetEngine) rollout.WeightVersion {
		if m.usable(e.Loaded[m.Name]) {
			return e.Loaded[m.Name]
		}
		return 0
	}
	slices.SortFunc(eligible, func(a, b FleetEngine) int {
		return cmp.Or(cmp.Compare(usableVersion(a), usableVersion(b)), cmp.Compare(f.modelsServed(a), f.modelsServed(b)),
			cmp.Compare(affinity(m.Name, a.Name), affinity(m.Name, b.Name)))
	})
	return eligible[0], true
}

// modelsServed returns the number of models that an engine has in a usable version
// newer than the initial one.
func (f *Fleet) modelsServed(e FleetEngine) int {
	count := 0
	for _, m := range f.Models {
		if v := e.expectedVersion(m.Name); v > initialVersion && m.usable(v) {
			count++
		}
	}
	return count
}

// initialVersion is the version that engines have loaded before any is published.
const initialVersion = 1

// affinity returns a hash by which all VMs order the engines of a model alike.
func affinity(m rollout.ModelName, s rollout.ServerName) uint64 {
	return xxh3.HashString(string(m) + "/" + string(s))
}

// Timing of loads that are not confirmed yet.
const (
	// LoadTime is how long an engine takes to load a version when few others load at
	// the same time.
	LoadTime = 920 * time.Millisecond
	// loadMargin is the additional wait before requests are sent to the engine.
	loadMargin = 60 * time.Millisecond
	// unconfirmedTimeout is how long an announced order counts if nothing confirms it.
	unconfirmedTimeout = 4 * time.Second
)

// VersionTracker tracks the versions that engines have loaded. It combines the
// entries in service discovery, which lag, with announced orders and the versions
// that engines report with tokens.
type VersionTracker struct {
	engines map[rollout.ServerName]*engineState
}

// engineState is what is known of one incarnation of an engine.
type engineState struct {
	incarnation int64
	loaded      map[rollout.ModelName]rollout.WeightVersion
	// pending is an order that was announced at announcedAt and is not confirmed.
	pending     rollout.NamedVersion
	announcedAt time.Time
}

// NewVersionTracker returns a VersionTracker without engines.
func NewVersionTracker() *VersionTracker {
	return &VersionTracker{engines: map[rollout.ServerName]*engineState{}}
}

// engine returns the state of an engine, and creates it if necessary.
func (t *VersionTracker) engine(name rollout.ServerName) *engineState {
	e := t.engines[name]
	if e == nil {
		e = &engineState{loaded: map[rollout.ModelName]rollout.WeightVersion{}}
		t.engines[name] = e
	}
	return e
}

// ObserveRegistration updates an engine from its entry in service discovery.
// Versions only increase within one incarnation, so an outdated entry of it has
// no effect.
func (t *VersionTracker) ObserveRegistration(s rollout.RegisteredServer) {
	e := t.engine(s.Name)
	if e.incarnation != s.Incarnation {
		*e = engineState{incarnation: s.Incarnation, loaded: map[rollout.ModelName]rollout.WeightVersion{}}
	}
	for m, v := range s.Versions {
		e.observe(m, v)
	}
}

// observe records a version that the engine has loaded, and clears the pending order
// if the version confirms it.
func (e *engineState) observe(m rollout.ModelName, v rollout.WeightVersion) {
	e.loaded[m] = max(e.loaded[m], v)
	if e.pending.Model == m && v >= e.pending.Version {
		e.pending = rollout.NamedVersion{}
	}
}

// ObserveOrder records that an order to an engine was announced at time now.
func (t *VersionTracker) ObserveOrder(now time.Time, s rollout.ServerName, o rollout.NamedVersion) {
	e := t.engine(s)
	if e.loaded[o.Model] < o.Version {
		e.pending, e.announcedAt = o, now
	}
}

// ObserveVersion records a version that an engine has loaded at time now. If it
// is older than the announced one after the load should have ended, the load did
// not happen and the pending order is cleared.
func (t *VersionTracker) ObserveVersion(now time.Time, s rollout.ServerName, m rollout.ModelName, v rollout.WeightVersion) {
	e := t.engine(s)
	e.observe(m, v)
	if e.pending.Model == m && now.Sub(e.announcedAt) > LoadTime+loadMargin {
		e.pending = rollout.NamedVersion{}
	}
}

// ExpectedLoadEnd returns the time at which a load that was announced at the
// given time is expected to have ended.
func ExpectedLoadEnd(announcedAt time.Time) time.Time { return announcedAt.Add(LoadTime + loadMargin) }

// Loaded returns the versions that an engine probably serves now. A model that is
// being loaded is omitted, because the engine refuses requests for it meanwhile.
// Once the load should have ended, the announced version counts unless an
// observation contradicts it or unconfirmedTimeout has passed.
func (t *VersionTracker) Loaded(now time.Time, s rollout.ServerName) map[rollout.ModelName]rollout.WeightVersion {
	e := t.engine(s)
	out := make(map[rollout.ModelName]rollout.WeightVersion, len(e.loaded))
	for m, v := range e.loaded {
		out[m] = v
	}
	switch age := now.Sub(e.announcedAt); {
	case e.pending.Model == "" || age > unconfirmedTimeout:
	case now.Before(ExpectedLoadEnd(e.announcedAt)):
		delete(out, e.pending.Model)
	default:
		out[e.pending.Model] = max(out[e.pending.Model], e.pending.Version)
	}
	return out
}

// Settled reports whether the versions that an engine serves don't depend on the time,
// because no order to it is pending.
func (t *VersionTracker) Settled(s rollout.ServerName) bool {
	e := t.engines[s]
	return e == nil || e.pending.Model == ""
}

// Retain removes the engines for which keep returns false.
func (t *VersionTracker) Retain(keep func(rollout.ServerName) bool) {
	for s := range t.engines {
		if !keep(s) {
			delete(t.engines, s)
		}
	}
}
