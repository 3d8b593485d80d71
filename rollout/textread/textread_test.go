package textread_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/textread"
)

func init() { assert.FixSeed() }

var limits = textread.Limits{CallBytes: 4096, GapBytes: 1000}

// TestPlan checks which records one call returns.
func TestPlan(t *testing.T) {
	const size = 100 - textread.RecordOverhead
	at := func(offsets ...rollout.Offset) []job.Location {
		var out []job.Location
		for _, o := range offsets {
			out = append(out, job.Location{Offset: o, Records: 1, Bytes: size})
		}
		return out
	}
	tests := []struct {
		name      string
		locations []job.Location
		want      string
	}{
		{name: "nothing"},
		{name: "empty texts", locations: []job.Location{{}, {}}},
		{name: "adjacent", locations: at(3, 4, 5), want: "3+3 "},
		{name: "out of order", locations: at(5, 3, 4), want: "3+3 "},
		{name: "two alternate", locations: at(0, 2, 4, 6), want: "0+7 "},
		{name: "a call for each beyond the waste", locations: at(0, 10, 20), want: "0+1 10+1 20+1 "},
		{name: "the smallest gap is read", locations: at(0, 5, 7, 30), want: "0+1 5+3 30+1 "},
		{name: "a large gap is not read", locations: at(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 23), want: "0+12 23+1 "},
		{name: "the order is that of the locations", locations: at(90, 10, 50), want: "90+1 10+1 50+1 "},
		{name: "the same location twice", locations: at(7, 7), want: "7+1 "},
		{name: "another partition", locations: []job.Location{{Offset: 1, Records: 1, Bytes: size}, {Partition: 1, Offset: 2, Records: 1, Bytes: size}}, want: "1+1 2+1 "},
		{name: "a large text", locations: []job.Location{{Offset: 1, Records: 5, Bytes: 4*1500 + 1}}, want: "1+2 3+3 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			for _, r := range textread.New(tt.locations, limits).Plan() {
				got += fmt.Sprintf("%d+%d ", r.From, r.Records)
			}
			assert.Equal(t, "ranges", got, tt.want)
		})
	}
}

// TestCollection reads texts, some in several records, from a partition whose responses
// are cut at any record, in any order. It guards against lost, mixed or repeated records,
// calls without progress, and calls that ask for more than twice what is wanted.
func TestCollection(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var records [][]byte
		var locations []job.Location
		var texts []string
		wanted, count := 0, 0
		for range rapid.IntRange(1, 40).Draw(rt, "texts") {
			text := rapid.SliceOfN(rapid.Byte(), 0, 900).Draw(rt, "text")
			parts := job.Split(text, 300)
			if rapid.Bool().Draw(rt, "wanted") {
				locations = append(locations, job.Location{Offset: rollout.Offset(len(records)), Records: len(parts), Bytes: len(text)})
				texts = append(texts, string(text))
				wanted, count = wanted+len(text)+len(parts)*textread.RecordOverhead, count+len(parts)
			}
			records = append(records, parts...)
		}
		c := textread.New(locations, limits)
		pending, asked, calls := c.Plan(), 0, 0
		for _, r := range pending {
			asked += r.Bytes
		}
		assert.AtMost(t, "bytes asked for", asked, 2*wanted)
		for ; len(pending) > 0; calls++ {
			i := rapid.IntRange(0, len(pending)-1).Draw(rt, "next")
			r := pending[i]
			pending = append(pending[:i:i], pending[i+1:]...)
			assert.True(t, "a call has at most CallBytes", r.Bytes <= limits.CallBytes || r.Records == 1)
			var response []rollout.Record
			for k := range rapid.IntRange(1, r.Records+2).Draw(rt, "returned") {
				if at := int(r.From) + k; at < len(records) {
					response = append(response, rollout.Record{Offset: rollout.Offset(at), Data: records[at]})
				}
			}
			rest, err := c.Add(r, response)
			assert.NoError(t, "add", err)
			pending = append(pending, rest...)
		}
		assert.AtMost(t, "calls", calls, count)
		assert.Equal(t, "prefix", c.Prefix(), len(locations))
		for i, data := range c.Data() {
			assert.Equal(t, "text", string(data), texts[i])
		}
	})
}

// TestUnusableResponse guards against calls that are repeated for ever.
func TestUnusableResponse(t *testing.T) {
	c := textread.New([]job.Location{{Offset: 4, Records: 1, Bytes: 1}}, limits)
	r := c.Plan()[0]
	_, err := c.Add(r, nil)
	assert.ErrorContains(t, "no record", err, "expected some")
	_, err = c.Add(r, []rollout.Record{{Offset: 5}})
	assert.ErrorContains(t, "another record", err, "expected some")
	assert.Equal(t, "prefix", c.Prefix(), 0)
}
