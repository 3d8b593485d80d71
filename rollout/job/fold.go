package job

import (
	"maps"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Job is what the fold of a partition says of one job.
type Job struct {
	Accepted
	// Listed holds the results in the order of their positions.
	Listed []Result
	Ended  bool
	// positions is the position of each sample's result, or -1.
	positions []int
}

// Position returns the position of a sample's result, or -1.
func (j *Job) Position(index int) int { return j.positions[index] }

// Complete tells that every sample has a result.
func (j *Job) Complete() bool { return len(j.Listed) == j.Total }

// event describes the job after a record changed it.
func (j *Job) event(first bool) Event {
	return Event{Job: &j.Accepted, First: first, Listed: len(j.Listed), Ended: j.Ended, Complete: j.Complete()}
}

// Event is what a record changed.
type Event struct {
	Job *Accepted
	// First tells that the record is the job's first.
	First bool
	// Listed is how many results the job has.
	Listed int
	Ended  bool
	// Complete tells that every sample has a result.
	Complete bool
}

// Fold holds the jobs of one partition. The first acceptance of an id, the first
// result of a sample and the first end count; later ones change nothing.
type Fold struct {
	next      rollout.Offset
	jobs      map[string]*Job
	fragments map[string]Fragment
	order     []string
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
func (f *Fold) Apply(at rollout.Offset, r Record) (Event, bool) {
	if at < f.next {
		return Event{}, false
	}
	f.next = at + 1
	switch {
	case r.Accepted != nil:
		return f.accepted(r.Accepted)
	case r.Result != nil:
		return f.result(*r.Result)
	case r.Fragment != nil:
		if old := f.fragments[r.Fragment.Sample]; r.Fragment.Pieces > old.Pieces {
			f.fragments[r.Fragment.Sample] = *r.Fragment
		}
	case r.End != nil:
		if j := f.jobs[r.End.Job]; j != nil && !j.Ended {
			j.Ended = true
			return j.event(false), true
		}
	}
	return Event{}, false
}

// Bad passes over a record that can't be read.
func (f *Fold) Bad(at rollout.Offset) { f.next = max(f.next, at+1) }

func (f *Fold) accepted(a *Accepted) (Event, bool) {
	if f.jobs[a.ID] != nil {
		return Event{}, false
	}
	j := &Job{Accepted: *a, positions: slices.Repeat([]int{-1}, a.Total)}
	f.jobs[a.ID] = j
	f.order = append(f.order, a.ID)
	return j.event(true), true
}

func (f *Fold) result(r Result) (Event, bool) {
	j := f.jobs[r.Job]
	if j == nil || r.Index < 0 || r.Index >= j.Total || j.positions[r.Index] >= 0 {
		return Event{}, false
	}
	j.positions[r.Index] = len(j.Listed)
	j.Listed = append(j.Listed, r)
	delete(f.fragments, r.Sample)
	return j.event(false), true
}

// Forget drops the jobs that were accepted and the fragments that were kept before
// a time.
func (f *Fold) Forget(before time.Time) {
	kept := f.order[:0]
	for _, id := range f.order {
		j := f.jobs[id]
		if !j.At.Before(before) {
			kept = append(kept, id)
			continue
		}
		delete(f.jobs, id)
	}
	f.order = kept
	maps.DeleteFunc(f.fragments, func(_ string, g Fragment) bool { return g.At.Before(before) })
}
