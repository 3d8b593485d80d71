package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
)

// loadShare is how many engines of a pool may load at a time, as one in so
// many: a platform slows loads down when more than about a fifth load.
const loadShare = 5

// Fleet is what the holder of a pool's orders knows when it decides.
type Fleet struct {
	// Engines are those that take orders; leaving ones are left out.
	Engines []FleetEngine
	Models  []FleetModel
}

// FleetEngine is one engine with what it has loaded.
type FleetEngine struct {
	Name   rollout.ServerName
	Loaded map[rollout.ModelName]rollout.WeightVersion
	// Ordering tells that an order is on its way or must wait.
	Ordering bool
	// Loading tells that the engine probably loads at this moment.
	Loading bool
	// Target is the model and version of that order.
	Target rollout.NamedVersion
}

// FleetModel is one model with its newest version.
type FleetModel struct {
	Name  rollout.ModelName
	Named rollout.WeightVersion
	// Behind is how many versions a sample may be behind the newest.
	Behind uint64
	Mode   rollout.SwapMode
}

// Swap is an order that should be given.
type Swap struct {
	Server  rollout.ServerName
	Model   rollout.ModelName
	Version rollout.WeightVersion
	Mode    rollout.SwapMode
}

// Rotate returns the orders to give now. The engines take turns: each newest
// version goes to the engines that can't serve the model any more, so that those
// that generate its samples are not interrupted, and to as few that, with the
// versions before that are still fresh, each model has its share of the engines.
func Rotate(f Fleet) []Swap {
	if len(f.Models) == 0 || len(f.Engines) == 0 {
		return nil
	}
	room := max(1, len(f.Engines)/loadShare)
	for _, e := range f.Engines {
		if e.Loading {
			room--
		}
	}
	taken := map[rollout.ServerName]bool{}
	var swaps []Swap
	for room > 0 {
		m, ok := f.neediest(swaps)
		if !ok {
			return swaps
		}
		e, ok := f.candidate(m, taken)
		if !ok {
			return swaps
		}
		taken[e.Name] = true
		swaps = append(swaps, Swap{Server: e.Name, Model: m.Name, Version: m.Named, Mode: m.Mode})
		room--
	}
	return swaps
}

// share is how many engines serve one model.
func (f *Fleet) share() int { return max(1, len(f.Engines)/len(f.Models)) }

// fresh is how many engines should have the newest version of a model: its share,
// so that versions which are still fresh add to it and one model's step can spread
// over more engines than its share while others have none. It leaves as many engines
// to each version before that is still fresh, so that their runs are not interrupted.
func (f *Fleet) fresh(m FleetModel) int {
	turns := int(m.Behind) + 1
	return max(1, min(f.share(), (len(f.Engines)+turns-1)/turns))
}

// usableWeight is what an unusable engine weighs against one that is not newest.
const usableWeight = 3

// neediest returns the model that lacks the largest part of what it should have.
// Engines that can't be used at all weigh more than versions that are not the
// newest: a step waits for the former.
func (f *Fleet) neediest(swaps []Swap) (FleetModel, bool) {
	var best FleetModel
	worst := 0.0
	for _, m := range f.Models {
		newest, usable := 0, 0
		for _, e := range f.Engines {
			v := e.version(m.Name)
			if v >= m.Named {
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
		newestLack := max(0, float64(f.fresh(m)-newest)/float64(f.fresh(m)))
		usableLack := max(0, float64(f.share()-usable)/float64(f.share()))
		if lack := newestLack + usableWeight*usableLack; lack > worst {
			best, worst = m, lack
		}
	}
	return best, worst > 0
}

// version is what the engine has or soon has of a model.
func (e *FleetEngine) version(m rollout.ModelName) rollout.WeightVersion {
	if e.Ordering && e.Target.Model == m {
		return max(e.Target.Version, e.Loaded[m])
	}
	return e.Loaded[m]
}

// usable reports whether samples may be generated with a version.
func (m *FleetModel) usable(v rollout.WeightVersion) bool {
	return uint64(v)+m.Behind >= uint64(m.Named)
}

// candidate returns the engine that loads a model next: one that can't serve the
// model and serves the fewest others, or else the one with the oldest version.
func (f *Fleet) candidate(m FleetModel, taken map[rollout.ServerName]bool) (FleetEngine, bool) {
	var able []FleetEngine
	for _, e := range f.Engines {
		if !taken[e.Name] && !e.Ordering && e.Loaded[m.Name] < m.Named {
			able = append(able, e)
		}
	}
	if len(able) == 0 {
		return FleetEngine{}, false
	}
	// oldest is 0 for every version that can't serve any more.
	oldest := func(e FleetEngine) rollout.WeightVersion {
		if m.usable(e.Loaded[m.Name]) {
			return e.Loaded[m.Name]
		}
		return 0
	}
	slices.SortFunc(able, func(a, b FleetEngine) int {
		return cmp.Or(cmp.Compare(oldest(a), oldest(b)), cmp.Compare(f.serves(a), f.serves(b)),
			cmp.Compare(affinity(m.Name, a.Name), affinity(m.Name, b.Name)))
	})
	return able[0], true
}

// serves counts the models that an engine has in a version that is neither the
// one that all began with nor too old.
func (f *Fleet) serves(e FleetEngine) int {
	count := 0
	for _, m := range f.Models {
		if v := e.version(m.Name); v > firstVersion && m.usable(v) {
			count++
		}
	}
	return count
}

// firstVersion is the version that engines have before any is published.
const firstVersion = 1

// affinity orders engines for a model, the same on every VM.
func affinity(m rollout.ModelName, s rollout.ServerName) uint64 {
	return xxh3.HashString(string(m) + "/" + string(s))
}

// Numbers of a load that nothing has confirmed yet.
const (
	// LoadTime is how long an engine takes to change weights when few others do.
	LoadTime = 920 * time.Millisecond
	// loadSlack is added before its requests are tried.
	loadSlack = 60 * time.Millisecond
	// swapHold is how long an order that was announced is believed when nothing
	// confirms it.
	swapHold = 4 * time.Second
)

// Known merges what is known of the engines' versions: their entries in service
// discovery, which lag, announced orders, and the versions that came with tokens.
type Known struct {
	engines map[rollout.ServerName]*knownEngine
}

type knownEngine struct {
	incarnation int64
	loaded      map[rollout.ModelName]rollout.WeightVersion
	// loading is an order that was announced at given and is not confirmed.
	loading rollout.NamedVersion
	given   time.Time
}

// NewKnown returns a state that knows nothing.
func NewKnown() *Known { return &Known{engines: map[rollout.ServerName]*knownEngine{}} }

func (k *Known) engine(name rollout.ServerName) *knownEngine {
	e := k.engines[name]
	if e == nil {
		e = &knownEngine{loaded: map[rollout.ModelName]rollout.WeightVersion{}}
		k.engines[name] = e
	}
	return e
}

// Listed takes an engine's entry in service discovery. Versions only rise
// within one incarnation, so an entry that lags changes nothing.
func (k *Known) Listed(s rollout.RegisteredServer) {
	e := k.engine(s.Name)
	if e.incarnation != s.Incarnation {
		*e = knownEngine{incarnation: s.Incarnation, loaded: map[rollout.ModelName]rollout.WeightVersion{}}
	}
	for m, v := range s.Versions {
		e.saw(m, v)
	}
}

func (e *knownEngine) saw(m rollout.ModelName, v rollout.WeightVersion) {
	e.loaded[m] = max(e.loaded[m], v)
	if e.loading.Model == m && v >= e.loading.Version {
		e.loading = rollout.NamedVersion{}
	}
}

// Given takes an announced order.
func (k *Known) Given(now time.Time, s rollout.ServerName, o rollout.NamedVersion) {
	e := k.engine(s)
	if e.loaded[o.Model] < o.Version {
		e.loading, e.given = o, now
	}
}

// Saw takes a version that an engine has at this moment. One that is older than
// an announced load, after its time, tells that the load has not happened.
func (k *Known) Saw(now time.Time, s rollout.ServerName, m rollout.ModelName, v rollout.WeightVersion) {
	e := k.engine(s)
	e.saw(m, v)
	if e.loading.Model == m && now.Sub(e.given) > LoadTime+loadSlack {
		e.loading = rollout.NamedVersion{}
	}
}

// Settled returns when an announced load is expected to be over.
func Settled(given time.Time) time.Time { return given.Add(LoadTime + loadSlack) }

// Loaded returns the versions that an engine probably serves now. A model that
// is being loaded is left out, for the engine refuses its requests meanwhile;
// after the time of a load the announced version counts until something
// contradicts it.
func (k *Known) Loaded(now time.Time, s rollout.ServerName) map[rollout.ModelName]rollout.WeightVersion {
	e := k.engine(s)
	out := make(map[rollout.ModelName]rollout.WeightVersion, len(e.loaded))
	for m, v := range e.loaded {
		out[m] = v
	}
	switch age := now.Sub(e.given); {
	case e.loading.Model == "" || age > swapHold:
	case now.Before(Settled(e.given)):
		delete(out, e.loading.Model)
	default:
		out[e.loading.Model] = max(out[e.loading.Model], e.loading.Version)
	}
	return out
}

// Forget drops the engines that the given function does not keep.
func (k *Known) Forget(keep func(rollout.ServerName) bool) {
	for s := range k.engines {
		if !keep(s) {
			delete(k.engines, s)
		}
	}
}
