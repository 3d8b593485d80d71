package jobs

import (
	"context"
	"slices"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// Numbers of the answers.
const (
	// answerBytes bounds the texts of one answer; the platform allows 1 MB with
	// the rest of the body.
	answerBytes = 800 << 10
	// appendTries is how often an append is tried for a caller that waits.
	appendTries = 3
	// appendPause is the pause between tries.
	appendPause = 60 * time.Millisecond
	// storeRetryAfter is the advice to a caller while the store refuses.
	storeRetryAfter = 300 * time.Millisecond
)

// Submit accepts a job: it returns when the journal has it. A job that is known
// is accepted again without another record.
func (k *Keeper) Submit(ctx context.Context, s job.Submission) error {
	p := k.of(s.ID)
	if _, known := p.job(s.ID); known {
		return nil
	}
	data, err := job.EncodeSubmission(&s)
	if err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "%v", err)
	}
	parts := job.Split(data, k.config.RecordBytes)
	first, err := k.append(ctx, rollout.Partition{Topic: job.TopicSubmission, Number: p.id.Number}, parts)
	if err != nil {
		// Nothing runs without the acceptance below.
		f := *rollout.FailureOf(err)
		f.Verdict = rollout.NotRun
		return &f
	}
	place := job.Place{Partition: p.id.Number, Offset: first, Bytes: len(data), Records: len(parts)}
	if err := k.appendIndex(ctx, p, job.Record{Accepted: s.Accept(place)}); err != nil {
		return err
	}
	k.config.Logger.Write(event.JobAccepted, event.Fields{
		"Job": s.ID, "Step": s.Step, "Model": s.Model, "MinVersion": s.MinVersion, "Samples": len(s.Samples), "Partition": p.id.Number,
	})
	return nil
}

// append appends records for a caller and returns the offset of the first. The
// records may be there twice afterwards, which the fold allows. Once a try may have
// succeeded, a failure is never one that promises that nothing was done.
func (k *Keeper) append(ctx context.Context, p rollout.Partition, records [][]byte) (rollout.Offset, error) {
	verdict := rollout.NotRun
	var err error
	for range appendTries {
		var first rollout.Offset
		if first, err = k.config.Journal.Append(ctx, p, records); err == nil {
			return first, nil
		}
		if rollout.VerdictOf(err) != rollout.NotRun {
			verdict = rollout.MayHaveRun
		}
		pause.For(ctx, appendPause)
	}
	f := rollout.Fail(verdict, rollout.ReasonLogUnavailable, err)
	return 0, f.WithRetryAfter(storeRetryAfter)
}

// appendIndex appends a record to a partition of the index for a caller.
func (k *Keeper) appendIndex(ctx context.Context, p *partition, r job.Record) error {
	data, err := job.Encode(r)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonInternal, err)
	}
	_, err = k.append(ctx, p.id, [][]byte{data})
	return err
}

func (p *partition) job(id string) (job.Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.fold.Job(id)
	if !ok {
		return job.Job{}, false
	}
	return *j, true
}

// find returns a job. A job that this VM does not know may be newer than its
// last read, so it reads again before it denies it.
func (k *Keeper) find(ctx context.Context, id string) (job.Job, error) {
	p := k.of(id)
	if j, ok := p.job(id); ok {
		return j, nil
	}
	if err := k.catchUp(ctx, p); err != nil {
		return job.Job{}, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
	if j, ok := p.job(id); ok {
		return j, nil
	}
	return job.Job{}, rollout.Refuse(rollout.ReasonStepUnknown, "job %s is not known", id)
}

// Results returns the results from a position on. It waits up to wait for one.
func (k *Keeper) Results(ctx context.Context, id string, after int, wait time.Duration) (job.Results, error) {
	j, err := k.find(ctx, id)
	if err != nil {
		return job.Results{}, err
	}
	if after >= len(j.Listed) {
		if j, err = k.await(ctx, j, after, wait); err != nil {
			return job.Results{}, err
		}
	}
	out := job.Results{Total: j.Total, Next: after}
	if after >= len(j.Listed) {
		return out, nil
	}
	listed := upTo(j.Listed[after:], answerBytes)
	texts, err := k.texts(ctx, listed)
	if err != nil {
		return job.Results{}, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
	for i, r := range listed {
		out.Results = append(out.Results, job.Listed{Sample: r.Sample, Outcome: r.Outcome, Text: texts[i], Versions: r.Versions})
	}
	out.Next = after + len(out.Results)
	return out, nil
}

// upTo returns the first results whose texts have a size together, one at least.
func upTo(listed []job.Result, bytes int) []job.Result {
	for i, r := range listed {
		bytes -= r.Text.Bytes
		if bytes < 0 && i > 0 {
			return listed[:i]
		}
	}
	return listed
}

// await waits until a job has more results than after, for a time. A VM whose
// last read is old reads again, so that it never denies what others showed.
func (k *Keeper) await(ctx context.Context, j job.Job, after int, wait time.Duration) (job.Job, error) {
	p := k.of(j.ID)
	end := time.Now().Add(wait)
	if wait > 0 {
		p.want()
	}
	for {
		p.mu.Lock()
		changed, read := p.changed, p.read
		now, _ := p.fold.Job(j.ID)
		if now != nil {
			j = *now
		}
		p.mu.Unlock()
		left := time.Until(end)
		if after < len(j.Listed) || (left <= 0 && time.Since(read) < fresh) || j.Complete() {
			return j, nil
		}
		if left <= 0 {
			if err := k.catchUp(ctx, p); err != nil {
				return j, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
			}
			continue
		}
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return j, rollout.Refuse(rollout.ReasonCanceled, "the read was canceled")
		}
		t.Stop()
	}
}

// Body returns what a sample of a job asks for.
func (k *Keeper) Body(ctx context.Context, id, sample string) ([]byte, error) {
	j, err := k.find(ctx, id)
	if err != nil {
		return nil, err
	}
	s, err := k.submission(ctx, &j.Accepted)
	if err != nil {
		return nil, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
	i := slices.IndexFunc(s.Samples, func(e job.Sample) bool { return e.ID == sample })
	if i < 0 {
		return nil, rollout.Refuse(rollout.ReasonStepUnknown, "job %s has no sample %s", id, sample)
	}
	return s.Samples[i].Body, nil
}

// End ends a job.
func (k *Keeper) End(ctx context.Context, id string) error {
	j, err := k.find(ctx, id)
	if err != nil || j.Ended {
		return err
	}
	return k.appendIndex(ctx, k.of(id), job.Record{End: &job.End{Job: id}})
}
