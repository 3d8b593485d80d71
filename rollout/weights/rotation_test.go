package weights_test

import (
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/weights"
)

// fleet returns a pool whose engines have loaded version 1 of every model.
func fleet(engines, models int, behind uint64) weights.Fleet {
	var f weights.Fleet
	for m := range models {
		f.Models = append(f.Models, weights.FleetModel{Name: rollout.ModelName(fmt.Sprintf("m%d", m)), Newest: 1, MaxVersionsBehind: behind})
	}
	for e := range engines {
		loaded := map[rollout.ModelName]rollout.WeightVersion{}
		for _, m := range f.Models {
			loaded[m.Name] = 1
		}
		f.Engines = append(f.Engines, weights.FleetEngine{Name: rollout.ServerName(fmt.Sprintf("e%02d", e)), Loaded: loaded})
	}
	return f
}

// settle applies the orders that PlanSwaps returns until there are none left, and
// returns all of them.
func settle(t *testing.T, f *weights.Fleet) []weights.Swap {
	t.Helper()
	var all []weights.Swap
	for range 100 {
		swaps := weights.PlanSwaps(*f)
		if len(swaps) == 0 {
			return all
		}
		all = append(all, swaps...)
		for _, s := range swaps {
			for i := range f.Engines {
				if f.Engines[i].Name == s.Server {
					f.Engines[i].Loaded[s.Model] = s.Version
				}
			}
		}
	}
	t.Fatalf("orders: got more after 100 rounds, want none")
	return nil
}

// usable returns the number of engines with a usable version of a model.
func usable(f weights.Fleet, m weights.FleetModel) int {
	count := 0
	for _, e := range f.Engines {
		if uint64(e.Loaded[m.Name])+m.MaxVersionsBehind >= uint64(m.Newest) {
			count++
		}
	}
	return count
}

// TestPlanSwapsServesEveryVersion publishes new versions of the models in turn. It
// checks that each version causes no more loads than the model's share of the
// engines, that enough engines can always serve the model, and that no engine with
// a usable version is interrupted while another engine has none.
func TestPlanSwapsServesEveryVersion(t *testing.T) {
	for _, c := range []struct {
		engines, models int
		behind          uint64
	}{{12, 3, 1}, {11, 2, 1}, {44, 3, 1}, {12, 3, 0}, {5, 1, 2}, {2, 3, 1}} {
		t.Run(fmt.Sprintf("%d engines, %d models, %d behind", c.engines, c.models, c.behind), func(t *testing.T) {
			f := fleet(c.engines, c.models, c.behind)
			share := max(1, c.engines/c.models)
			for v := rollout.WeightVersion(2); v < 12; v++ {
				for m := range f.Models {
					f.Models[m].Newest = v
					f.Models[m].MaxVersionsBehind = min(c.behind, uint64(v)-1)
					before := usable(f, f.Models[m])
					swaps := settle(t, &f)
					assert.AtMost(t, "loads per version", len(swaps), share)
					assert.True(t, "model served by its share of the engines", usable(f, f.Models[m]) >= share)
					if int(v) > int(c.behind)+1 {
						all := min(c.engines, share*int(c.behind+1))
						assert.True(t, "every usable version served by a share of the engines", usable(f, f.Models[m]) >= all)
					}
					if c.engines > 2*share && before > 0 {
						assert.True(t, "no serving engine was interrupted", usable(f, f.Models[m]) >= before)
					}
				}
			}
		})
	}
}

func TestPlanSwapsLimits(t *testing.T) {
	t.Run("at most a fifth of the engines load at the same time", func(t *testing.T) {
		f := fleet(20, 2, 0)
		f.Models[0].Newest, f.Models[1].Newest = 2, 2
		assert.Equal(t, "orders", len(weights.PlanSwaps(f)), 4)
		f.Engines[0].OrderBlocked, f.Engines[0].Loading = true, true
		assert.Equal(t, "orders while one engine loads", len(weights.PlanSwaps(f)), 3)
	})
	t.Run("an engine with an order in progress gets no other", func(t *testing.T) {
		f := fleet(1, 1, 0)
		f.Models[0].Newest = 2
		f.Engines[0].OrderBlocked = true
		assert.Equal(t, "orders", len(weights.PlanSwaps(f)), 0)
	})
	t.Run("the model without a usable engine goes first", func(t *testing.T) {
		f := fleet(5, 2, 1)
		f.Models[0].Newest, f.Models[1].Newest = 2, 5
		assert.Equal(t, "model", weights.PlanSwaps(f)[0].Model, "m1")
	})
	t.Run("no orders without models or engines", func(t *testing.T) {
		assert.Equal(t, "orders", len(weights.PlanSwaps(weights.Fleet{})), 0)
	})
}

func TestVersionTracker(t *testing.T) {
	announcedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	newTracker := func() *weights.VersionTracker {
		tracker := weights.NewVersionTracker()
		tracker.ObserveRegistration(rollout.RegisteredServer{Name: "e", Incarnation: 1, Versions: map[rollout.ModelName]rollout.WeightVersion{"m": 1, "n": 4}})
		tracker.ObserveOrder(announcedAt, "e", rollout.NamedVersion{Model: "m", Version: 2})
		return tracker
	}
	version := func(tracker *weights.VersionTracker, after time.Duration) rollout.WeightVersion {
		return tracker.Loaded(announcedAt.Add(after), "e")["m"]
	}
	t.Run("only the model that is being loaded is omitted", func(t *testing.T) {
		assert.Equal(t, "loading", version(newTracker(), 500*time.Millisecond), 0)
		assert.Equal(t, "other model", newTracker().Loaded(announcedAt, "e")["n"], 4)
	})
	t.Run("the new version counts once the load should have ended", func(t *testing.T) {
		assert.Equal(t, "version", version(newTracker(), 1100*time.Millisecond), 2)
	})
	t.Run("the new version stops counting if it stays unconfirmed", func(t *testing.T) {
		assert.Equal(t, "version", version(newTracker(), 5*time.Second), 1)
	})
	t.Run("the new version stops counting if an observation contradicts it", func(t *testing.T) {
		tracker := newTracker()
		tracker.ObserveVersion(announcedAt.Add(1200*time.Millisecond), "e", "m", 1)
		assert.Equal(t, "version", version(tracker, 1300*time.Millisecond), 1)
	})
	t.Run("an outdated entry in service discovery changes nothing", func(t *testing.T) {
		tracker := newTracker()
		tracker.ObserveVersion(announcedAt.Add(time.Second), "e", "m", 2)
		tracker.ObserveRegistration(rollout.RegisteredServer{Name: "e", Incarnation: 1, Versions: map[rollout.ModelName]rollout.WeightVersion{"m": 1}})
		assert.Equal(t, "version", version(tracker, 2*time.Second), 2)
	})
	t.Run("a new incarnation discards earlier state", func(t *testing.T) {
		tracker := newTracker()
		tracker.ObserveRegistration(rollout.RegisteredServer{Name: "e", Incarnation: 2, Versions: map[rollout.ModelName]rollout.WeightVersion{"m": 1}})
		assert.Equal(t, "version", version(tracker, 2*time.Second), 1)
	})
}

func TestAnnouncement(t *testing.T) {
	data, err := weights.EncodeAnnouncement(weights.Announcement{Holder: "v", Server: "e", Model: "m", Version: 2})
	assert.NoError(t, "encode", err)
	a, err := weights.DecodeAnnouncement(data)
	assert.NoError(t, "decode", err)
	assert.Equal(t, "version", a.Version, 2)
	_, err = weights.DecodeAnnouncement([]byte{0xa0})
	assert.ErrorContains(t, "decode an empty announcement", err, "schema 0")
}
