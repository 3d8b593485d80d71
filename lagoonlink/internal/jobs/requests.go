package jobs

import (
	"context"
	"slices"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/tenancy"
)

// Limits and retry settings for serving callers.
const (
	// maxResponseTextBytes limits the texts of one response. The platform allows 1
	// MB including the rest of the body.
	maxResponseTextBytes = 800 << 10
	// pageTime limits the time for reading the texts of one response: 0.6 of the 1.5 s
	// that callers wait longer than they ask for. The rest is for the response's way.
	pageTime = 900 * time.Millisecond
	// appendAttempts is the maximum number of attempts of an append while a caller
	// waits.
	appendAttempts   = 3
	appendRetryDelay = 60 * time.Millisecond
	// storeRetryAfter is the retry delay returned to a caller while the store is
	// unavailable.
	storeRetryAfter = 300 * time.Millisecond
	// confirmTimeout limits the read that shows whose acceptance of a job came first. It
	// normally takes 4 ms; a trainer waits for it.
	confirmTimeout = 700 * time.Millisecond
)

// Submit accepts a job and returns once it is stored in the journal. Submitting a
// known job again succeeds without writing another record, unless it belongs to another
// tenant.
func (m *Manager) Submit(ctx context.Context, c tenancy.Caller, s job.Submission) error {
	p := m.partitionOf(s.ID)
	if j, known := p.job(s.ID); known {
		return m.withhold(c, j.Tenant, s.ID, c.MayRepeat(s.ID, j.Tenant))
	}
	data, err := job.EncodeSubmission(&s)
	if err != nil {
		return rollout.Refuse(rollout.ReasonBadRequest, "%v", err)
	}
	parts := job.Split(data, m.config.RecordBytes)
	first, err := m.appendWithRetry(ctx, rollout.Partition{Topic: job.TopicSubmission, Number: p.id.Number}, parts)
	if err != nil {
		// The append may have succeeded, but a job does not run without the
		// acceptance record below.
		f := *rollout.FailureOf(err)
		f.Verdict = rollout.NotRun
		return &f
	}
	location := job.Location{Partition: p.id.Number, Offset: first, Bytes: len(data), Records: len(parts)}
	if err := m.appendIndex(ctx, p, job.Record{Accepted: s.Accept(location)}); err != nil {
		return err
	}
	if err := m.confirmAccepted(ctx, p, c, s.ID); err != nil {
		return err
	}
	fields := event.Fields{
		"Job": s.ID, "Step": s.Step, "Model": s.Model, "MinVersion": s.MinVersion, "Samples": len(s.Samples), "Partition": p.id.Number,
	}
	if s.Tenant != "" {
		fields["Tenant"] = s.Tenant
	}
	m.config.Logger.Write(event.JobAccepted, fields)
	return nil
}

// appendWithRetry appends records on behalf of a caller and returns the offset of
// the first one. The records may be stored twice, which the fold tolerates. If any
// attempt may have succeeded, the returned failure never has the verdict NotRun.
func (m *Manager) appendWithRetry(ctx context.Context, p rollout.Partition, records [][]byte) (rollout.Offset, error) {
	verdict := rollout.NotRun
	var err error
	for range appendAttempts {
		var first rollout.Offset
		if first, err = m.config.Journal.Append(ctx, p, records); err == nil {
			return first, nil
		}
		if rollout.VerdictOf(err) != rollout.NotRun {
			verdict = rollout.MayHaveRun
		}
		pause.For(ctx, appendRetryDelay)
	}
	f := rollout.Fail(verdict, rollout.ReasonLogUnavailable, err)
	return 0, f.WithRetryAfter(storeRetryAfter)
}

func (m *Manager) appendIndex(ctx context.Context, p *partition, r job.Record) error {
	data, err := job.Encode(r)
	if err != nil {
		return rollout.Fail(rollout.NotRun, rollout.ReasonInternal, err)
	}
	_, err = m.appendWithRetry(ctx, p.id, [][]byte{data})
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

// confirmAccepted returns an error if the job whose acceptance was appended belongs to
// another tenant, because that one used the ID first. Without tenants it reads nothing. If
// the partition can't be read in time, the job counts as the caller's: the acceptance is
// stored, and if it came second, the job stays unknown to the caller.
func (m *Manager) confirmAccepted(ctx context.Context, p *partition, c tenancy.Caller, id string) error {
	if !c.Enforced {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := m.catchUp(ctx, p); err != nil {
		m.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": p.id, "Job": id, "Error": err})
		return nil
	}
	j, ok := p.job(id)
	if !ok {
		return nil
	}
	return m.withhold(c, j.Tenant, id, c.MayRepeat(id, j.Tenant))
}

// withhold logs a refusal to let a caller use a job, if there is one, and returns it.
func (m *Manager) withhold(c tenancy.Caller, owner, id string, f *rollout.Failure) error {
	if f == nil {
		return nil
	}
	m.config.Logger.Write(event.JobWithheld, event.Fields{
		"Job": id, "Owner": owner, "Tenant": c.Tenant, "Version": c.Version, "Age": c.Age.Seconds(), "Reason": f.Reason,
	})
	return f
}

// find returns a job that the caller may use. If the job is unknown, it may be newer than
// this VM's last read, so find reads the partition to its end before it refuses.
func (m *Manager) find(ctx context.Context, c tenancy.Caller, id string) (job.Job, error) {
	p := m.partitionOf(id)
	if j, ok := p.job(id); ok {
		return j, m.withhold(c, j.Tenant, id, c.MayUse(id, j.Tenant))
	}
	if err := m.catchUp(ctx, p); err != nil {
		return job.Job{}, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
	if j, ok := p.job(id); ok {
		return j, m.withhold(c, j.Tenant, id, c.MayUse(id, j.Tenant))
	}
	f := c.UnknownJob(id)
	if c.Enforced {
		return job.Job{}, m.withhold(c, "", id, f)
	}
	return job.Job{}, f
}

// Results returns results that follow the first after results, without a gap. If there
// are none yet, it waits up to wait for one. It returns those that it could read within
// pageTime, and at least one if there is any.
func (m *Manager) Results(ctx context.Context, c tenancy.Caller, id string, after int, wait time.Duration) (job.Results, error) {
	waitEnd := time.Now().Add(wait)
	j, err := m.find(ctx, c, id)
	if err != nil {
		return job.Results{}, err
	}
	if after >= len(j.Listed) {
		if j, err = m.awaitResults(ctx, j, after, wait); err != nil {
			return job.Results{}, err
		}
	}
	out := job.Results{Total: j.Total, Next: after}
	if after >= len(j.Listed) {
		return out, nil
	}
	listed := limitTextBytes(j.Listed[after:], maxResponseTextBytes)
	texts, err := m.reader.read(ctx, readRequest{
		kind: readResults, job: id, topic: job.TopicText, locations: textLocations(listed), deadline: pageDeadline(time.Now(), waitEnd),
	})
	if err != nil {
		return job.Results{}, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
	for i, text := range texts {
		r := listed[i]
		out.Results = append(out.Results, job.ResultEntry{Sample: r.Sample, Outcome: r.Outcome, Text: text, Versions: r.Versions, Score: r.Score})
	}
	out.Next = after + len(out.Results)
	return out, nil
}

// pageDeadline returns when a page ends whose texts are read from now on, for a caller
// that asked to wait until waitEnd. A wait that ended late leaves less time.
func pageDeadline(now, waitEnd time.Time) time.Time {
	if waitEnd.Before(now) {
		now = waitEnd
	}
	return now.Add(pageTime)
}

func textLocations(listed []job.Result) []job.Location {
	out := make([]job.Location, len(listed))
	for i, r := range listed {
		out[i] = r.Text
	}
	return out
}

// limitTextBytes returns the longest prefix of listed whose texts fit into the
// given number of bytes, but at least one result.
func limitTextBytes(listed []job.Result, maxBytes int) []job.Result {
	for i, r := range listed {
		maxBytes -= r.Text.Bytes
		if maxBytes < 0 && i > 0 {
			return listed[:i]
		}
	}
	return listed
}

// awaitResults waits until a job has more than after results or the wait ends. If
// the last read of the partition is too old, it reads again before it returns
// without a new result, so that this VM never hides a result that other VMs have
// already returned.
func (m *Manager) awaitResults(ctx context.Context, j job.Job, after int, wait time.Duration) (job.Job, error) {
	p := m.partitionOf(j.ID)
	deadline := time.Now().Add(wait)
	if wait > 0 {
		p.demand()
	}
	for {
		p.mu.Lock()
		changed, readAt := p.changed, p.caughtUpAt
		current, _ := p.fold.Job(j.ID)
		if current != nil {
			j = *current
		}
		p.mu.Unlock()
		remaining := time.Until(deadline)
		if after < len(j.Listed) || (remaining <= 0 && time.Since(readAt) < maxStaleness) || j.Complete() {
			return j, nil
		}
		if remaining <= 0 {
			if err := m.catchUp(ctx, p); err != nil {
				return j, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
			}
			continue
		}
		t := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return j, rollout.Refuse(rollout.ReasonCanceled, "reading the results was canceled")
		}
		t.Stop()
	}
}

// SampleBody returns the request body of a sample.
func (m *Manager) SampleBody(ctx context.Context, c tenancy.Caller, id, sample string) ([]byte, error) {
	j, err := m.find(ctx, c, id)
	if err != nil {
		return nil, err
	}
	if m.config.Reserve != nil {
		if err := m.config.Reserve(ctx, j.Accepted.MemoryBytes()); err != nil {
			return nil, err
		}
	}
	s, err := m.readSubmission(ctx, &j.Accepted)
	if err != nil {
		return nil, rollout.Refuse(rollout.ReasonLogUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
	i := slices.IndexFunc(s.Samples, func(e job.Sample) bool { return e.ID == sample })
	if i < 0 {
		return nil, rollout.Refuse(rollout.ReasonStepUnknown, "job %s has no sample %s", id, sample)
	}
	return s.Samples[i].Body, nil
}

// End ends a job. It does nothing if the job has already ended.
func (m *Manager) End(ctx context.Context, c tenancy.Caller, id string) error {
	j, err := m.find(ctx, c, id)
	if err != nil || j.Ended {
		return err
	}
	return m.appendIndex(ctx, m.partitionOf(id), job.Record{End: &job.End{Job: id}})
}
