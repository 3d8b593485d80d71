package job

import (
	"maps"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Job is the state of one job, derived from the records of its partition.
type Job struct {
	Accepted
	// Listed holds the results, indexed by position.
	Listed []Result
	// Ended reports whether the trainer ended the job.
	Ended bool
	// positions holds the position of each sample's result, or -1 if the sample
	// has none; it is indexed by the sample's index in the submission.
	positions []int
}

// Position returns the position of the result of the sample with the given
// index, or -1 if it has none.
func (j *Job) Position(index int) int { return j.positions[index] }

// Complete reports whether every sample has a result.
func (j *Job) Complete() bool { return len(j.Listed) == j.Total }

func (j *Job) event(first bool) Event {
	return Event{Job: &j.Accepted, First: first, Listed: len(j.Listed), Ended: j.Ended, Complete: j.Complete()}
}

// Event describes a job after a record changed it.
type Event struct {
	Job *Accepted
	// First reports whether the record created the job.
	First bool
	// Listed is the number of results of the job.
	Listed int
	// Ended reports whether the trainer ended the job.
	Ended bool
	// Complete reports whether every sample has a result.
	Complete bool
}

// fragmentKey identifies the fragments of a sample. Tenants choose the IDs of their samples,
// so that equal IDs of two tenants are different samples.
type fragmentKey struct{ tenant, sample string }

// Fold derives the jobs of one partition from its records. Only the first
// acceptance of a job ID, the first result of a sample and the first end of a job
// take effect; later duplicates are ignored.
type Fold struct {
	next      rollout.Offset
	jobs      map[string]*Job
	fragments map[fragmentKey]Fragment
	order     []string
}

// NewFold returns a Fold to which no record has been applied.
func NewFold() *Fold {
	return &Fold{jobs: map[string]*Job{}, fragments: map[fragmentKey]Fragment{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() rollout.Offset { return f.next }

// SkipTo advances to an offset because the journal no longer keeps the records
// before it. It never moves backwards.
func (f *Fold) SkipTo(offset rollout.Offset) { f.next = max(f.next, offset) }

// Job returns the job with the given ID.
func (f *Fold) Job(id string) (*Job, bool) {
	j, ok := f.jobs[id]
	return j, ok
}

// Jobs returns all jobs in the order in which they were accepted.
func (f *Fold) Jobs() []*Job {
	out := make([]*Job, 0, len(f.order))
	for _, id := range f.order {
		out = append(out, f.jobs[id])
	}
	return out
}

// Fragment returns the stored text of an unfinished sample of a tenant, which may be empty,
// from which a run has least left to do.
func (f *Fold) Fragment(tenant, sample string) (Fragment, bool) {
	g, ok := f.fragments[fragmentKey{tenant, sample}]
	return g, ok
}

// Apply applies the record at an offset and reports whether it changed a job.
// Records that were applied before are ignored.
func (f *Fold) Apply(offset rollout.Offset, r Record) (Event, bool) {
	if offset < f.next {
		return Event{}, false
	}
	f.next = offset + 1
	switch {
	case r.Accepted != nil:
		return f.applyAccepted(r.Accepted)
	case r.Result != nil:
		return f.applyResult(*r.Result)
	case r.Fragment != nil:
		key := fragmentKey{r.Fragment.Tenant, r.Fragment.Sample}
		if old := f.fragments[key]; r.Fragment.Extends(old) {
			f.fragments[key] = *r.Fragment
		}
	case r.End != nil:
		if j := f.jobs[r.End.Job]; j != nil && !j.Ended {
			j.Ended = true
			return j.event(false), true
		}
	}
	return Event{}, false
}

// SkipInvalid skips the record at an offset because it could not be decoded.
func (f *Fold) SkipInvalid(offset rollout.Offset) { f.next = max(f.next, offset+1) }

func (f *Fold) applyAccepted(a *Accepted) (Event, bool) {
	if f.jobs[a.ID] != nil {
		return Event{}, false
	}
	j := &Job{Accepted: *a, positions: slices.Repeat([]int{-1}, a.Total)}
	f.jobs[a.ID] = j
	f.order = append(f.order, a.ID)
	return j.event(true), true
}

func (f *Fold) applyResult(r Result) (Event, bool) {
	j := f.jobs[r.Job]
	if j == nil || r.Index < 0 || r.Index >= j.Total || j.positions[r.Index] >= 0 {
		return Event{}, false
	}
	j.positions[r.Index] = len(j.Listed)
	j.Listed = append(j.Listed, r)
	delete(f.fragments, fragmentKey{j.Tenant, r.Sample})
	return j.event(false), true
}

// RemoveBefore removes the jobs that were accepted and the fragments that were
// stored before the given time.
func (f *Fold) RemoveBefore(before time.Time) {
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
	maps.DeleteFunc(f.fragments, func(_ fragmentKey, g Fragment) bool { return g.At.Before(before) })
}
