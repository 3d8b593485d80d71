package job_test

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
)

func init() { assert.FixSeed() }

// epoch is the time at which the jobs of the tests are accepted.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func submission(id string, samples int) *job.Submission {
	s := &job.Submission{ID: id, Host: "a.example", Model: "m", MinVersion: 1, At: epoch, Retention: time.Minute}
	for i := range samples {
		s.Samples = append(s.Samples, job.Sample{ID: fmt.Sprintf("%s-%d", id, i), Group: "g", Path: "/p/", Body: []byte{byte(i)}})
	}
	return s
}

// apply encodes, decodes and applies records at consecutive offsets.
func apply(t testing.TB, f *job.Fold, from rollout.Offset, records ...job.Record) []job.Event {
	t.Helper()
	var events []job.Event
	for _, r := range records {
		data, err := job.Encode(r)
		assert.NoError(t, "encode", err)
		decoded, err := job.Decode(data)
		assert.NoError(t, "decode", err)
		if e, changed := f.Apply(from, decoded); changed {
			events = append(events, e)
		}
		from++
	}
	return events
}

// accepted returns the acceptance record of a job with the given number of samples.
func accepted(id string, samples int) job.Record {
	return job.Record{Accepted: submission(id, samples).Accept(job.Location{Records: 1})}
}

func result(id string, index int, offset rollout.Offset) job.Record {
	return job.Record{Result: &job.Result{Job: id, Sample: fmt.Sprintf("%s-%d", id, index), Index: index, Versions: []rollout.WeightVersion{1}, Text: job.Location{Offset: offset, Records: 1}}}
}

func TestFirstRecordCounts(t *testing.T) {
	t.Run("a job is accepted once", func(t *testing.T) {
		f := job.NewFold()
		events := apply(t, f, 0, accepted("a", 2), accepted("a", 3))
		assert.Equal(t, "events", len(events), 1)
		j, _ := f.Job("a")
		assert.Equal(t, "samples", j.Total, 2)
	})
	t.Run("a sample has one result", func(t *testing.T) {
		f := job.NewFold()
		apply(t, f, 0, accepted("a", 2), result("a", 1, 10), result("a", 1, 20), result("a", 0, 30))
		j, _ := f.Job("a")
		assert.Equal(t, "listed", len(j.Listed), 2)
		assert.Equal(t, "first position", j.Listed[0].Text.Offset, 10)
		assert.Equal(t, "position of sample 0", j.Position(0), 1)
		assert.True(t, "complete", j.Complete())
	})
	t.Run("results without a job or a sample change nothing", func(t *testing.T) {
		f := job.NewFold()
		events := apply(t, f, 0, result("b", 0, 1), accepted("a", 1), result("a", 1, 1), result("a", -1, 1))
		assert.Equal(t, "events", len(events), 1)
	})
	t.Run("a job ends once and may still get results", func(t *testing.T) {
		f := job.NewFold()
		end := job.Record{End: &job.End{Job: "a"}}
		events := apply(t, f, 0, accepted("a", 1), end, end, result("a", 0, 1))
		assert.Equal(t, "events", len(events), 3)
	})
	t.Run("records that were applied before change nothing", func(t *testing.T) {
		f := job.NewFold()
		apply(t, f, 0, accepted("a", 2), result("a", 0, 1))
		assert.Equal(t, "events", len(apply(t, f, 0, accepted("a", 2), result("a", 1, 1))), 0)
	})
}

// TestPositionsNeverChange checks that a result never changes its position and
// that all VMs agree on the positions. It applies random logs with duplicate
// records to two folds, one of which applies some records repeatedly.
func TestPositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []job.Record
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				log = append(log, accepted(id, 4))
			case 1:
				log = append(log, job.Record{End: &job.End{Job: id}})
			default:
				log = append(log, result(id, rapid.IntRange(0, 3).Draw(t, "index"), rollout.Offset(len(log))))
			}
		}
		first, second := job.NewFold(), job.NewFold()
		seen := map[string][]job.Result{}
		for at, r := range log {
			first.Apply(rollout.Offset(at), r)
			for _, j := range first.Jobs() {
				before := seen[j.ID]
				if len(j.Listed) < len(before) {
					t.Fatalf("job %s: got %d results, want at least %d", j.ID, len(j.Listed), len(before))
				}
				requireSame(t, "positions", j.Listed[:len(before)], before)
				seen[j.ID] = append([]job.Result(nil), j.Listed...)
			}
		}
		for at := 0; at < len(log); at++ {
			second.Apply(rollout.Offset(at), log[at])
			if rapid.Bool().Draw(t, "read again") {
				at = max(-1, at-rapid.IntRange(0, 3).Draw(t, "back"))
				for back := at + 1; back >= 0 && back < len(log) && rollout.Offset(back) < second.Next(); back++ {
					second.Apply(rollout.Offset(back), log[back])
					at = back
				}
			}
		}
		for _, j := range first.Jobs() {
			other, ok := second.Job(j.ID)
			if !ok {
				t.Fatalf("job %s: got none on the second VM", j.ID)
			}
			requireSame(t, "results of "+j.ID, other.Listed, j.Listed)
		}
	})
}

func requireSame(t *rapid.T, what string, got, want []job.Result) {
	if len(got) != len(want) || (len(got) > 0 && !reflect.DeepEqual(got, want)) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestSubmission(t *testing.T) {
	s := submission("a", 40)
	s.At = epoch.Add(856 * time.Millisecond)
	for i := range s.Samples {
		s.Samples[i].Body = make([]byte, 1000)
		s.Samples[i].Body[0] = byte(i)
	}
	data, err := job.EncodeSubmission(s)
	assert.NoError(t, "encode", err)
	parts := job.Split(data, 4096)
	assert.True(t, "several records", len(parts) > 5)
	for _, part := range parts {
		assert.AtMost(t, "bytes of a record", len(part), 4096)
	}
	j := s.Accept(job.Location{})
	t.Run("whole", func(t *testing.T) {
		got, err := job.DecodeSubmission(bytes.Join(parts, nil), j)
		assert.NoError(t, "decode", err)
		assert.True(t, "samples are equal", reflect.DeepEqual(got.Samples, s.Samples))
		assert.True(t, "time of acceptance", got.At.Equal(s.At))
	})
	t.Run("without its first record", func(t *testing.T) {
		_, err := job.DecodeSubmission(bytes.Join(parts[1:], nil), j)
		assert.ErrorContains(t, "decode", err, "submission a")
	})
	t.Run("without its last record", func(t *testing.T) {
		_, err := job.DecodeSubmission(bytes.Join(parts[:len(parts)-1], nil), j)
		assert.ErrorContains(t, "decode", err, "submission a")
	})
	t.Run("of another job", func(t *testing.T) {
		_, err := job.DecodeSubmission(data, submission("b", 40).Accept(job.Location{}))
		assert.ErrorContains(t, "decode", err, "got job a")
	})
	t.Run("with another number of samples", func(t *testing.T) {
		_, err := job.DecodeSubmission(data, submission("a", 39).Accept(job.Location{}))
		assert.ErrorContains(t, "decode", err, "40 samples")
	})
}

// TestTimeIsExact checks that encoding does not truncate the time of acceptance
// to seconds.
func TestTimeIsExact(t *testing.T) {
	s := submission("a", 1)
	s.At = epoch.Add(856 * time.Millisecond)
	events := apply(t, job.NewFold(), 0, job.Record{Accepted: s.Accept(job.Location{})})
	assert.True(t, "time of acceptance", events[0].Job.At.Equal(s.At))
}

func TestDecodeRejectsInvalidRecords(t *testing.T) {
	both, err := job.Encode(job.Record{End: &job.End{Job: "a"}, Result: &job.Result{Job: "a"}})
	assert.NoError(t, "encode", err)
	none, err := job.Encode(accepted("a", 0))
	assert.NoError(t, "encode", err)
	for name, c := range map[string]struct {
		data []byte
		want string
	}{
		"not CBOR":     {[]byte("{"), "decode"},
		"other schema": {[]byte{0xa1, 0x66, 'S', 'c', 'h', 'e', 'm', 'a', 9}, "schema 9"},
		"two parts":    {both, "2 parts"},
		"no samples":   {none, "0 samples"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := job.Decode(c.data)
			assert.ErrorContains(t, "decode", err, c.want)
		})
	}
}

func TestFragments(t *testing.T) {
	fragment := func(pieces int) job.Record {
		return job.Record{Fragment: &job.Fragment{Sample: "a-0", At: epoch, Pieces: pieces, Versions: []rollout.WeightVersion{2}}}
	}
	f := job.NewFold()
	apply(t, f, 0, accepted("a", 1), fragment(5), fragment(9), fragment(7))
	g, ok := f.Fragment("", "a-0")
	assert.True(t, "found", ok)
	assert.Equal(t, "longest", g.Pieces, 9)
	apply(t, f, f.Next(), result("a", 0, 1))
	_, ok = f.Fragment("", "a-0")
	assert.True(t, "removed by the result", !ok)
	apply(t, f, f.Next(), fragment(3))
	f.RemoveBefore(epoch.Add(time.Minute))
	_, ok = f.Fragment("", "a-0")
	assert.True(t, "removed by RemoveBefore", !ok)
}

func TestWholeFragments(t *testing.T) {
	f := job.NewFold()
	whole := job.Fragment{Sample: "a", Pieces: 40, Whole: true}
	apply(t, f, 0,
		job.Record{Fragment: &job.Fragment{Sample: "a", Pieces: 40}},
		job.Record{Fragment: &whole},
		job.Record{Fragment: &job.Fragment{Sample: "a", Pieces: 80}},
	)
	got, _ := f.Fragment("", "a")
	assert.Equal(t, "a complete text is kept", got, whole)
	p := job.NewProgress(job.Constraints{MinVersion: 2})
	assert.True(t, "text under old weights is not used", !p.Resume(job.Fragment{Pieces: 1, Versions: []rollout.WeightVersion{1}, Whole: true}, []byte("x")))
	assert.True(t, "text is not complete", !p.Whole())
	assert.True(t, "text is used", p.Resume(job.Fragment{Pieces: 1, Versions: []rollout.WeightVersion{2}, Whole: true}, []byte("x")))
	assert.True(t, "text is complete", p.Whole())
}

func TestRemoveBefore(t *testing.T) {
	f := job.NewFold()
	recent := submission("b", 1)
	recent.At = epoch.Add(time.Hour)
	apply(t, f, 0, accepted("a", 1), job.Record{Accepted: recent.Accept(job.Location{})})
	f.RemoveBefore(epoch.Add(time.Minute))
	_, found := f.Job("a")
	_, kept := f.Job("b")
	assert.True(t, "the old job is removed", !found)
	assert.True(t, "the recent job is kept", kept)
}

func FuzzDecode(f *testing.F) {
	for _, r := range []job.Record{accepted("a", 1), result("a", 0, 1), {End: &job.End{Job: "a"}}} {
		data, err := job.Encode(r)
		assert.NoError(f, "encode", err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := job.Decode(data); err == nil {
			job.NewFold().Apply(0, r)
		}
	})
}
