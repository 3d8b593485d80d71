package job

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Job is what the fold of a partition says of one job.
type Job struct {
	ID   string
	Host string
	// Total is how many samples it has.
	Total int
	// At is when it was accepted, by the accepting VM's time of day.
	At time.Time
	// Place is where its submission lies in the index.
	Place Place
	// Listed holds the results in the order of their positions.
	Listed []Result
	Ended  bool
	// positions is the position of each sample's result, or -1.
	positions []int
	ids       []string
}

// Position returns the position of a sample's result, or -1.
func (j *Job) Position(index int) int { return j.positions[index] }

// SampleID returns the id of a sample.
func (j *Job) SampleID(index int) string { return j.ids[index] }

// Find returns the index of the sample with an id.
func (j *Job) Find(id string) (int, bool) {
	i := slices.Index(j.ids, id)
	return i, i >= 0
}

// Complete tells that every sample has a result.
func (j *Job) Complete() bool { return len(j.Listed) == j.Total }

// Event is what a record changed. Submission is set for a job's first record.
type Event struct {
	Job        *Job
	Submission *Submission
	// Listed is the index of a sample that got its result, or -1.
	Listed int
	Ended  bool
}

// Fold holds the jobs of one partition. The first submission of an id, the
// first result of a sample and the first end count; later ones change nothing.
type Fold struct {
	next      rollout.Offset
	jobs      map[string]*Job
	fragments map[string]Fragment
	order     []string
	// parts gathers the chunks of a submission.
	parts   []byte
	partsOf string
	nextPar int
	start   rollout.Offset
}

// NewFold returns a fold that has read nothing.
func NewFold() *Fold {
	return &Fold{jobs: map[string]*Job{}, fragments: map[string]Fragment{}}
}

// Next returns the offset to read from.
func (f *Fold) Next() rollout.Offset { return f.next }

// Skip goes on from an offset, for the records before it are no longer kept.
func (f *Fold) Skip(to rollout.Offset) { f.next = max(f.next, to) }

// Job returns a job.
func (f *Fold) Job(id string) (*Job, bool) {
	j, ok := f.jobs[id]
	return j, ok
}

// Jobs returns every job, oldest first.
func (f *Fold) Jobs() []*Job {
	out := make([]*Job, 0, len(f.order))
	for _, id := range f.order {
		out = append(out, f.jobs[id])
	}
	return out
}

// Fragment returns the longest text that is kept of a broken-off sample.
func (f *Fold) Fragment(sample string) (Fragment, bool) {
	g, ok := f.fragments[sample]
	return g, ok
}

// Apply takes the record at an offset. Records that were applied before are
// passed over.
func (f *Fold) Apply(at rollout.Offset, bytes int, r Record) (Event, bool) {
	if at < f.next {
		return Event{}, false
	}
	f.next = at + 1
	switch {
	case r.Submission != nil:
		return f.submitted(Place{Offset: at, Bytes: bytes, Records: 1}, r.Submission)
	case r.Chunk != nil:
		return f.chunk(at, bytes, r.Chunk)
	case r.Result != nil:
		return f.result(*r.Result)
	case r.Fragment != nil:
		if old := f.fragments[r.Fragment.Sample]; r.Fragment.Pieces > old.Pieces {
			f.fragments[r.Fragment.Sample] = *r.Fragment
		}
	case r.End != nil:
		if j := f.jobs[r.End.Job]; j != nil && !j.Ended {
			j.Ended = true
			return Event{Job: j, Listed: -1, Ended: true}, true
		}
	}
	return Event{}, false
}

// Bad passes over a record that can't be read.
func (f *Fold) Bad(at rollout.Offset) { f.next = max(f.next, at+1) }

func (f *Fold) submitted(place Place, s *Submission) (Event, bool) {
	if f.jobs[s.ID] != nil {
		return Event{}, false
	}
	j := &Job{ID: s.ID, Host: s.Host, Total: len(s.Samples), At: s.At, Place: place}
	for i := range s.Samples {
		j.positions = append(j.positions, -1)
		j.ids = append(j.ids, s.Samples[i].ID)
	}
	f.jobs[s.ID] = j
	f.order = append(f.order, s.ID)
	return Event{Job: j, Submission: s, Listed: -1}, true
}

func (f *Fold) chunk(at rollout.Offset, bytes int, c *Chunk) (Event, bool) {
	if c.Part == 0 {
		f.parts, f.partsOf, f.nextPar, f.start = nil, c.Job, 0, at
	}
	if c.Job != f.partsOf || c.Part != f.nextPar {
		return Event{}, false
	}
	f.parts = append(f.parts, c.Data...)
	f.nextPar++
	if !c.Last {
		return Event{}, false
	}
	data := f.parts
	f.parts, f.partsOf = nil, ""
	r, err := Decode(data)
	if err != nil || r.Submission == nil {
		// Its writer checked it before; what can't be read was never accepted.
		return Event{}, false
	}
	return f.submitted(Place{Offset: f.start, Bytes: len(data) + bytes, Records: c.Part + 1}, r.Submission)
}

func (f *Fold) result(r Result) (Event, bool) {
	j := f.jobs[r.Job]
	if j == nil || r.Index < 0 || r.Index >= j.Total || j.positions[r.Index] >= 0 {
		return Event{}, false
	}
	j.positions[r.Index] = len(j.Listed)
	j.Listed = append(j.Listed, r)
	delete(f.fragments, j.ids[r.Index])
	return Event{Job: j, Listed: r.Index}, true
}

// Forget drops the jobs that were accepted before a time.
func (f *Fold) Forget(before time.Time) {
	kept := f.order[:0]
	for _, id := range f.order {
		j := f.jobs[id]
		if !j.At.Before(before) {
			kept = append(kept, id)
			continue
		}
		for _, sample := range j.ids {
			delete(f.fragments, sample)
		}
		delete(f.jobs, id)
	}
	f.order = kept
}
