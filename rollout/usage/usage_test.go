package usage_test

import (
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/usage"
)

const length = 5 * time.Second

// at returns a time some seconds after the start of window 100.
func at(seconds float64) time.Time {
	return usage.EndOf(99, length).Add(time.Duration(seconds * float64(time.Second)))
}

func take(c *usage.Counter, now time.Time) (taken []usage.Taken, late int) {
	return c.Take(now, time.Second, 3*time.Second, 20*time.Second)
}

func TestWindows(t *testing.T) {
	assert.Equal(t, "start", usage.WindowAt(at(0), length), 100)
	assert.Equal(t, "just before the end", usage.WindowAt(at(4.999999), length), 100)
	assert.Equal(t, "end", usage.WindowAt(at(5), length), 101)
	assert.Equal(t, "in a day of 2026", usage.WindowAt(time.Unix(1767205600, 0), length), 353441120)
}

// A tenant may have two requests in a window, so each must count exactly once.
func TestCounter(t *testing.T) {
	c := usage.NewCounter(length)
	c.Add("x", "1", at(0))
	c.Add("x", "1", at(1))
	c.Add("x", "2", at(4.9))
	c.Add("x", "3", at(5))
	c.Add("", "4", at(1))
	c.Add("y", "1", at(1))
	taken, _ := take(c, at(5.9))
	assert.Equal(t, "before the first delay", len(taken), 0)
	taken, _ = take(c, at(6))
	assert.Equal(t, "taken", taken, []usage.Taken{{Window: 100, Counts: map[string]int{"x": 2, "y": 1}}})
	c.Add("x", "5", at(4.8))
	c.Add("x", "2", at(6))
	taken, _ = take(c, at(7))
	assert.Equal(t, "a response that took long, too early", len(taken), 0)
	taken, _ = take(c, at(8))
	assert.Equal(t, "a response that took long", taken, []usage.Taken{{Window: 100, Counts: map[string]int{"x": 1}}})
	c.Add("x", "6", at(0))
	taken, late := take(c, at(26))
	assert.Equal(t, "the next window", taken, []usage.Taken{{Window: 101, Counts: map[string]int{"x": 1}}})
	assert.Equal(t, "too late", late, 1)
}

func TestFold(t *testing.T) {
	f := usage.NewFold(99)
	r := usage.Record{VM: "a", Incarnation: "1", Sequence: 1, Window: 100, Counts: map[string]int{"x": 2}}
	for _, sequence := range []uint64{1, 1, 2} {
		r.Sequence = sequence
		assert.Equal(t, "late", f.Apply(r), 0)
	}
	// Another process of the VM starts its sequence again.
	r.Incarnation = "2"
	f.Apply(r)
	f.Apply(usage.Record{VM: "a", Incarnation: "1", Sequence: 9, Window: 99, Counts: map[string]int{"x": 50}})
	assert.Equal(t, "report", f.Report(100).Counts, map[string]int{"x": 6})
	assert.True(t, "empty counts are not nil", f.Report(101).Counts != nil)
	f.Fix(100)
	assert.Equal(t, "a repeat after the report", f.Apply(r), 0)
	r.Sequence = 3
	assert.Equal(t, "late", f.Apply(r), 2)
}

func TestRecord(t *testing.T) {
	want := usage.Record{Schema: 1, VM: "a", Incarnation: "i", Sequence: 3, Window: 100, Counts: map[string]int{"x": 2}}
	data, err := usage.Encode(want)
	assert.NoError(t, "encode", err)
	got, err := usage.Decode(data)
	assert.NoError(t, "decode", err)
	assert.Equal(t, "record", got, want)
	want.Counts["x"] = -1
	data, err = usage.Encode(want)
	assert.NoError(t, "encode", err)
	_, err = usage.Decode(data)
	assert.ErrorContains(t, "a negative count", err, "count -1")
}

func TestLoad(t *testing.T) {
	c := usage.NewCounter(length)
	c.AddBusy("s", 2*time.Second, at(0))
	c.AddBusy("s", 3*time.Second, at(4))
	taken, late := take(c, at(6))
	assert.Equal(t, "taken", taken, []usage.Taken{{Window: 100, Busy: map[rollout.ServiceName]float64{"s": 5}}})
	assert.Equal(t, "late", late, 0)
	f := usage.NewFold(99)
	for sequence := range uint64(2) {
		f.Apply(usage.Record{VM: "a", Incarnation: "1", Sequence: sequence, Window: 100, Busy: taken[0].Busy})
	}
	assert.Equal(t, "load", f.Load(100, length), map[rollout.ServiceName]float64{"s": 2})
	assert.Equal(t, "load of another window", len(f.Load(101, length)), 0)
}
