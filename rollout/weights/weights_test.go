package weights_test

import (
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/weights"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const key = "orders/assistant/Bole"

// records encodes claims of the test's key as consecutive log records.
func records(t *testing.T, claims ...weights.Claim) []rollout.Record {
	t.Helper()
	var out []rollout.Record
	for i, c := range claims {
		c.Key = key
		data, err := weights.EncodeClaim(c)
		assert.NoError(t, "encode", err)
		out = append(out, rollout.Record{Offset: rollout.Offset(i), Data: data})
	}
	return out
}

func TestClaims(t *testing.T) {
	for _, c := range []struct {
		name   string
		claims []weights.Claim
		holder rollout.VMName
		fence  rollout.Offset
	}{
		{"the first claim wins", []weights.Claim{{VM: "a"}}, "a", 1},
		{"the first of two concurrent claims wins", []weights.Claim{{VM: "a"}, {VM: "b"}}, "a", 1},
		{"a takeover carries the offset of the holder's claim", []weights.Claim{{VM: "a"}, {VM: "b", Prior: 1}}, "b", 2},
		{"a claim with an outdated Prior loses", []weights.Claim{{VM: "a"}, {VM: "b", Prior: 1}, {VM: "c", Prior: 1}}, "b", 2},
		{"a takeover may carry the offset of a losing claim", []weights.Claim{{VM: "a"}, {VM: "b"}, {VM: "c", Prior: 2}}, "c", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := weights.NewClaims()
			f.Apply(start, rollout.ReadResult{Records: records(t, c.claims...)})
			for _, claim := range c.claims {
				claim.Key = key
				fence, won := f.Fence(claim)
				assert.Equal(t, fmt.Sprintf("%s won", claim.VM), won, claim.VM == c.holder)
				if won {
					assert.Equal(t, "fence", fence, c.fence)
				}
			}
		})
	}
	t.Run("a key is not free within lease and guard", func(t *testing.T) {
		f := weights.NewClaims()
		f.Apply(start, rollout.ReadResult{Records: records(t, weights.Claim{VM: "a"})})
		_, free := f.Prior(start.Add(4*time.Second), key, 3*time.Second, 2*time.Second)
		assert.Equal(t, "free before they end", free, false)
		prior, free := f.Prior(start.Add(6*time.Second), key, 3*time.Second, 2*time.Second)
		assert.Equal(t, "free after they end", free, true)
		assert.Equal(t, "prior", prior, rollout.Offset(1))
	})
}

func TestDecodeClaimRejectsInvalidRecords(t *testing.T) {
	good, err := weights.EncodeClaim(weights.Claim{Key: key, VM: "a"})
	assert.NoError(t, "encode", err)
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"no data", nil},
		{"truncated", good[:len(good)-1]},
		{"not CBOR", []byte("hello")},
		{"too long", make([]byte, 2000)},
		{"an array", []byte{0x83, 1, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := weights.DecodeClaim(c.data)
			assert.True(t, "decode returns an error", err != nil)
		})
	}
}

var engines = []rollout.ServerName{"a", "b", "c", "d", "e", "f"}

// waves returns a Waves with six engines that have loaded nothing and must load
// version 2 of model m.
func waves() *weights.Waves {
	w := weights.NewWaves(weights.DefaultConfig())
	w.SetServers(engines)
	for _, e := range engines {
		w.ObserveReport(e, nil)
	}
	w.SetTarget("m", 2)
	return w
}

func loaded(v rollout.WeightVersion) map[rollout.ModelName]rollout.WeightVersion {
	return map[rollout.ModelName]rollout.WeightVersion{"m": v}
}

func TestWaves(t *testing.T) {
	t.Run("a third of the engines change at a time until all have the target", func(t *testing.T) {
		w := waves()
		for round := range 3 {
			sends := w.Next(start, 1)
			assert.Equal(t, fmt.Sprintf("orders of wave %d", round), len(sends), 2)
			assert.Equal(t, "orders while the wave is in progress", len(w.Next(start, 1)), 0)
			for _, s := range sends {
				w.ObserveReport(s.Server, loaded(2))
			}
		}
		assert.Equal(t, "due", w.Due(), false)
	})
	t.Run("a failed order is retried later", func(t *testing.T) {
		w := waves()
		first := w.Next(start, 1)[0]
		w.RecordFailure(start, first.Server, "m")
		for _, s := range w.Next(start, 1) {
			assert.True(t, "another engine goes first", s.Server != first.Server)
		}
		assert.True(t, "it is still due", w.Due())
	})
	t.Run("an unconfirmed order is sent again", func(t *testing.T) {
		w := weights.NewWaves(weights.DefaultConfig())
		w.SetServers(engines[:1])
		w.SetTarget("m", 2)
		assert.Equal(t, "orders", len(w.Next(start, 1)), 1)
		w.Next(start.Add(5*time.Second), 1)
		assert.Equal(t, "orders after timeout and backoff", len(w.Next(start.Add(10*time.Second), 1)), 1)
	})
	t.Run("an engine that was set back to an older version is ordered again", func(t *testing.T) {
		w := weights.NewWaves(weights.DefaultConfig())
		w.SetServers(engines[:1])
		w.SetTarget("m", 3)
		w.ObserveReport("a", loaded(3))
		assert.Equal(t, "due", w.Due(), false)
		w.ObserveReport("a", loaded(2))
		assert.Equal(t, "order", w.Next(start, 7), []weights.ServerOrder{{Server: "a", Order: rollout.Order{Model: "m", Version: 3, Fence: 7}}})
	})
	t.Run("an older version never becomes the target", func(t *testing.T) {
		w := waves()
		w.SetTarget("m", 1)
		assert.Equal(t, "version ordered", w.Next(start, 1)[0].Order.Version, rollout.WeightVersion(2))
	})
	t.Run("a newer version replaces an order in progress", func(t *testing.T) {
		w := waves()
		w.Next(start, 1)
		w.SetTarget("m", 3)
		assert.Equal(t, "version ordered", w.Next(start, 1)[0].Order.Version, rollout.WeightVersion(3))
	})
}
