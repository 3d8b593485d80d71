package job_test

import (
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
)

func piece(text string, v rollout.WeightVersion) rollout.Piece {
	return rollout.Piece{Text: text, Tokens: 1, Version: v}
}

func TestProgress(t *testing.T) {
	t.Run("lists every version that generated a piece", func(t *testing.T) {
		p := job.NewProgress(job.Constraints{MinVersion: 2})
		for _, x := range []rollout.Piece{piece("a", 3), piece("b", 2), piece("c", 3)} {
			assert.Equal(t, "action", p.Add(x), job.Keep)
		}
		assert.Equal(t, "text", string(p.Text()), "a\nb\nc")
		assert.Equal(t, "versions", p.Versions(), []rollout.WeightVersion{2, 3})
	})
	t.Run("separates empty pieces too", func(t *testing.T) {
		p := job.NewProgress(job.Constraints{})
		for _, text := range []string{"", "\na", "", ""} {
			assert.Equal(t, "action", p.Add(piece(text, 1)), job.Keep)
		}
		assert.Equal(t, "text", string(p.Text()), "\n\na\n\n")
	})
	t.Run("rejects a version that is too old or unknown and keeps the earlier text", func(t *testing.T) {
		p := job.NewProgress(job.Constraints{MinVersion: 2})
		p.Add(piece("a", 2))
		assert.Equal(t, "old", p.Add(piece("b", 1)), job.Stale)
		assert.Equal(t, "unknown", p.Add(piece("b", 0)), job.Stale)
		assert.Equal(t, "pieces", p.Pieces(), 1)
	})
	t.Run("restarts when a second version generates text that must have one", func(t *testing.T) {
		p := job.NewProgress(job.Constraints{MinVersion: 1, SingleVersion: true})
		p.Add(piece("a", 1))
		assert.Equal(t, "action", p.Add(piece("b", 2)), job.Restart)
		assert.Equal(t, "pieces", p.Pieces(), 0)
		assert.Equal(t, "action after the restart", p.Add(piece("b", 2)), job.Keep)
	})
	t.Run("is abandoned after the maximum number of failures", func(t *testing.T) {
		p := job.NewProgress(job.Constraints{MaxFailures: 3})
		assert.Equal(t, "failures", []bool{p.CountFailure(), p.CountFailure(), p.CountFailure()}, []bool{false, false, true})
	})
	t.Run("drops a text that new constraints forbid", func(t *testing.T) {
		p := job.NewProgress(job.Constraints{MinVersion: 1})
		assert.True(t, "nothing to drop", !p.Constrain(job.Constraints{MinVersion: 1, SingleVersion: true, MaxFailures: 2}))
		p.Add(piece("a", 1))
		assert.True(t, "one version is kept", !p.Constrain(job.Constraints{MinVersion: 1}))
		p.Add(piece("b", 2))
		assert.True(t, "two versions are dropped", p.Constrain(job.Constraints{MinVersion: 1, SingleVersion: true, MaxFailures: 2}))
		assert.Equal(t, "text", string(p.Text()), "")
		assert.Equal(t, "failures", []bool{p.CountFailure(), p.CountFailure()}, []bool{false, true})
	})
	for name, c := range map[string]struct {
		constraints job.Constraints
		versions    []rollout.WeightVersion
		want        bool
	}{
		"fresh":                    {job.Constraints{MinVersion: 2}, []rollout.WeightVersion{2, 3}, true},
		"too old":                  {job.Constraints{MinVersion: 3}, []rollout.WeightVersion{2, 3}, false},
		"of two versions, not one": {job.Constraints{MinVersion: 2, SingleVersion: true}, []rollout.WeightVersion{2, 3}, false},
		"without a version":        {job.Constraints{}, nil, false},
	} {
		t.Run("resume from a text that is "+name, func(t *testing.T) {
			p := job.NewProgress(c.constraints)
			got := p.Resume(job.Fragment{Pieces: 2, Versions: c.versions}, []byte("a\nb"))
			assert.Equal(t, "resumed", got, c.want)
			p.Add(piece("c", 3))
			want := "c"
			if c.want {
				want = "a\nb\nc"
			}
			assert.Equal(t, "text", string(p.Text()), want)
		})
	}
}

// meterOf returns the Meter of a run that produced its first piece after wait and
// the others at intervals of perPiece.
func meterOf(wait time.Duration, pieces int, perPiece time.Duration) *job.Meter {
	m := &job.Meter{}
	for n := range pieces {
		m.CountPiece(epoch.Add(wait + time.Duration(n)*perPiece))
	}
	return m
}

// TestTextWithoutEnd guards against servers whose events never end.
func TestTextWithoutEnd(t *testing.T) {
	p := job.NewProgress(job.Constraints{MinVersion: 1})
	text := strings.Repeat("x", 1000)
	for n := 0; !p.TooLong(); n++ {
		p.Add(rollout.Piece{Text: text, Version: 1})
		assert.AtMost(t, "pieces", n, 3000)
	}
	assert.AtMost(t, "pieces of an ordinary text", 1000, p.Pieces())
	p.Discard()
	assert.True(t, "the next server begins anew", !p.TooLong())
}

func TestPace(t *testing.T) {
	var p job.Pace
	assert.True(t, "no run is slow before any run was observed", !p.Slow(meterOf(0, 100, time.Hour)))
	for range 20 {
		p.Observe(meterOf(time.Second, 9, 40*time.Millisecond))
	}
	for range 5 {
		p.Observe(meterOf(0, 9, 140*time.Millisecond))
	}
	p.Observe(meterOf(0, 1, 0))
	assert.True(t, "a run at about three times the average is slow, though some observed runs were as slow", p.Slow(meterOf(0, 11, 140*time.Millisecond)))
	assert.True(t, "a run at about the average pace is not slow", !p.Slow(meterOf(0, 11, 45*time.Millisecond)))
	assert.True(t, "a run with few pieces is not slow", !p.Slow(meterOf(0, 5, time.Minute)))
	assert.True(t, "time in the engine's queue does not make a run slow", !p.Slow(meterOf(2*time.Second, 11, 40*time.Millisecond)))
}

func TestStartOrder(t *testing.T) {
	s := submission("a", 5)
	for i, n := range []int{100, 0, 900, 300, 200} {
		s.Samples[i].Length = n
		s.Samples[i].MaxTokens = 2000
	}
	none := func(string) (int, bool) { return 0, false }
	t.Run("the longest first, those without an estimate at the mean", func(t *testing.T) {
		got := job.StartOrder(s, func(int) bool { return false }, none)
		assert.Equal(t, "order", got, []int{2, 1, 3, 4, 0})
	})
	t.Run("samples with a result are omitted", func(t *testing.T) {
		got := job.StartOrder(s, func(i int) bool { return i == 2 }, none)
		assert.Equal(t, "order", got, []int{1, 3, 4, 0})
	})
	t.Run("an interrupted sample counts as long", func(t *testing.T) {
		got := job.StartOrder(s, func(int) bool { return false }, func(id string) (int, bool) { return 3, id == "a-0" })
		assert.Equal(t, "first", got[0], 0)
	})
}

func TestTextIsContinuedByItsSoftwareVersion(t *testing.T) {
	p := job.NewProgress(job.Constraints{})
	assert.True(t, "any server may begin", p.Software() == nil && p.StartRun("v1"))
	p.Add(piece("a", 1))
	assert.Equal(t, "needed software", *p.Software(), rollout.SoftwareVersion("v1"))
	assert.True(t, "another version may not continue", !p.StartRun("v2"))
	assert.True(t, "the same version may", p.StartRun("v1"))
	stored := p.Fragment("s", time.Time{})
	resumed := job.NewProgress(job.Constraints{})
	assert.True(t, "the stored text is used", resumed.Resume(*stored, []byte("a")))
	assert.Equal(t, "needed software after a resumption", *resumed.Software(), rollout.SoftwareVersion("v1"))
	resumed.Discard()
	assert.True(t, "any server may begin again", resumed.Software() == nil && resumed.StartRun("v2"))
	assert.Equal(t, "text", string(resumed.Text()), "")
}
