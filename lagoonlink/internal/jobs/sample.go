package jobs

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/routing"
)

// Timeouts and limits for running one sample.
const (
	// pieceTimeout is the maximum time between two pieces before the sample moves
	// to another server. A change of weights takes about 1 s.
	pieceTimeout = 1600 * time.Millisecond
	// firstPieceTimeout is the maximum time until the first piece. It is longer
	// because the engine may queue the sample.
	firstPieceTimeout = 2500 * time.Millisecond
	// requeueDelay is the delay before a refused sample is queued again.
	requeueDelay = 40 * time.Millisecond
	// noServerDelay is the delay before a retry when no server can take a sample.
	noServerDelay = 150 * time.Millisecond
	// maxMoves limits how often a sample is moved because its server is slow.
	maxMoves = 3
	// pieceTime is the usual time that a server takes for a piece.
	pieceTime = 40 * time.Millisecond
	// maxSoftwareWait is the maximum time that a text waits for a server of its software
	// version while others are free. A step is lost if a sample is at no server for 5 s.
	maxSoftwareWait = 2 * time.Second
	// maxUnconfirmed is how many servers in a row may fail to confirm their incarnation
	// before a text is generated from the start, which any server may do.
	maxUnconfirmed = 3
	// minFragmentPieces is the minimum number of pieces for which the text of an
	// interrupted run is stored.
	minFragmentPieces = 4
	// checkpointPieces is how many further pieces, about 1.6 s of generation, a
	// running sample generates between two checkpoints. It limits the work lost
	// when the owner fails. Most samples are shorter and are not stored before
	// they end.
	checkpointPieces = 40
	// retentionSlack is how long after its retention a sample is abandoned. It
	// allows for clock differences between VMs.
	retentionSlack = 3 * time.Second
	// fragmentReadTimeout limits the reading of fragments before a run.
	fragmentReadTimeout = time.Second
)

var errSlowServer = errors.New("the server is slower than others")

var errStaleWeights = errors.New("the server's weights are too old")

var errTextWithoutEnd = errors.New("the text is longer than any text is")

// pieceTimeoutError is a time-out, by which those who observe servers tell it from the end of
// a run for another reason.
type pieceTimeoutError struct{}

func (pieceTimeoutError) Error() string { return "the server generated no piece within the timeout" }

// Timeout implements net.Error.
func (pieceTimeoutError) Timeout() bool { return true }

var errPieceTimeout error = pieceTimeoutError{}

// runSample runs one sample until it has a result, its retention ends or the run
// is canceled.
func (r *runner) runSample(u *run, index int, ticket *dispatch.Ticket) {
	// The job may end before the sample takes the slot that its ticket reserves.
	defer func() {
		if ticket != nil {
			ticket.Abandon()
		}
	}()
	s := &u.submission.Samples[index]
	t := &sampleRun{
		runner: r, run: u, sample: s, result: job.Result{Job: u.job.ID, Sample: s.ID, Index: index},
		progress: job.NewProgress(job.Constraints{MinVersion: u.submission.MinVersion}),
	}
	ctx, cancel := context.WithDeadline(u.ctx, u.submission.At.Add(u.submission.Retention+retentionSlack))
	defer cancel()
	outcome, done := t.complete(ctx, &ticket)
	switch {
	case done:
		t.finish(outcome)
	case u.ctx.Err() == nil:
		r.manager.config.Logger.Write(event.SampleAbandoned, event.Fields{"Job": u.job.ID, "Sample": s.ID, "Cause": "Retention", "Age": time.Since(u.submission.At).String()})
		t.finish(job.Abandoned)
	default:
		t.storeFragment()
	}
}

// awaitRoute waits until the configuration in force has a route for the sample: without
// one, nothing that a route decides is known. It returns false if ctx ended first.
func (t *sampleRun) awaitRoute(ctx context.Context) bool {
	_, err := t.runner.manager.config.InForce.Await(ctx, func(v *inforce.View) bool {
		_, ok := t.run.findRoute(v, t.sample)
		return ok
	})
	t.constrain()
	return err == nil
}

// constrain applies the constraints of the route in force to the text so far. It reports
// whether it dropped the text because that doesn't meet them.
func (t *sampleRun) constrain() (dropped bool) {
	v := t.runner.manager.config.InForce.Current()
	if v == nil || v.Routes == t.routes {
		return false
	}
	route, ok := t.run.findRoute(v, t.sample)
	if !ok {
		// The route was removed; what it required holds on.
		return false
	}
	t.routes = v.Routes
	return t.progress.Constrain(job.Constraints{
		MinVersion: t.run.submission.MinVersion, SingleVersion: route.SingleVersion, MaxFailures: route.MaxAttempts,
	})
}

// complete generates the text of the sample and scores it if it has a scorer. It returns
// false if ctx ended first. It sets *ticket to nil when it has used the ticket.
func (t *sampleRun) complete(ctx context.Context, ticket **dispatch.Ticket) (outcome job.Outcome, done bool) {
	if !t.awaitRoute(ctx) {
		return 0, false
	}
	t.resumeFromFragment()
	if t.sample.Scorer != nil {
		if !t.runner.admitUnscored(ctx, ticket) {
			return 0, false
		}
		defer func() { <-t.runner.unscored }()
	}
	if !t.progress.Whole() {
		if outcome, done = t.generateText(ctx, ticket); !done || outcome != job.Done {
			return outcome, done
		}
	}
	if t.sample.Scorer == nil {
		return job.Done, true
	}
	return t.score(ctx)
}

// generateText runs the sample on one server after another until its text is complete or
// it is abandoned. It returns false if ctx ended first.
func (t *sampleRun) generateText(ctx context.Context, ticket **dispatch.Ticket) (outcome job.Outcome, done bool) {
	for ctx.Err() == nil {
		t.constrain()
		grant := t.faster
		t.faster = nil
		if grant != nil && !t.confirm(ctx, grant) {
			continue
		}
		if grant == nil {
			grant = t.acquire(ctx, ticket)
		}
		if grant == nil {
			continue
		}
		startedAt := time.Now()
		if outcome, done = t.attempt(ctx, grant); done {
			return outcome, true
		}
		t.checkOrigin(grant.Server, startedAt)
	}
	if t.faster != nil {
		t.faster.Done(dispatch.Result{})
	}
	return 0, false
}

// acquire waits for a server, with the ticket if there is one. It returns nil if it got
// none.
func (t *sampleRun) acquire(ctx context.Context, ticket **dispatch.Ticket) *dispatch.Grant {
	d := t.runner.manager.config.Dispatch
	queuedAt := time.Now()
	if t.heldUpSince.IsZero() {
		t.heldUpSince = queuedAt
	}
	defer func() { t.queueTime += time.Since(queuedAt) }()
	used := *ticket
	*ticket = nil
	if used == nil {
		var err error
		if used, err = d.Enqueue(t.dispatchRequest(t.avoid)); err != nil {
			pause.For(ctx, noServerDelay)
			return nil
		}
	}
	grant, err := used.Wait(ctx)
	if err != nil {
		t.notPlaced(ctx, err)
		pause.For(ctx, noServerDelay)
		return nil
	}
	if !t.progress.StartRun(grant.Server.Software) {
		grant.Done(dispatch.Result{})
		return nil
	}
	if !t.confirm(ctx, grant) {
		return nil
	}
	return grant
}

// confirm reports whether the granted server may continue the text so far. If it doesn't
// confirm its incarnation, the grant is released and the next run avoids the server.
func (t *sampleRun) confirm(ctx context.Context, grant *dispatch.Grant) bool {
	incarnations := t.runner.manager.config.Incarnations
	if t.progress.Pieces() == 0 || incarnations == nil {
		return true
	}
	err := incarnations.Confirm(ctx, grant.Server, t.sample.ID)
	if err == nil {
		t.unconfirmed = 0
		return true
	}
	grant.Done(dispatch.Result{})
	t.avoid = []rollout.ServerName{grant.Server.Name}
	if t.unconfirmed++; t.unconfirmed >= maxUnconfirmed {
		t.restart(err)
	}
	pause.For(ctx, requeueDelay)
	return false
}

// restart drops the text so far, because no server that may continue it is to be had.
func (t *sampleRun) restart(err error) {
	t.runner.manager.config.Logger.Write(event.SampleRestarted, event.Fields{
		"Job": t.run.job.ID, "Sample": t.sample.ID, "Pieces": t.progress.Pieces(), "Software": *t.progress.Software(), "Error": err,
	})
	t.progress.Discard()
	t.unconfirmed = 0
}

// checkOrigin drops the text so far if it isn't known any more that servers of one software
// version generated it: the last run may have been at another incarnation of its server
// than this VM knew then.
func (t *sampleRun) checkOrigin(s rollout.Server, startedAt time.Time) {
	if t.progress.Pieces() == 0 {
		return
	}
	software, known := t.runner.manager.config.Fleet.SoftwareAt(rollout.StreamOrigin{Server: s.Name, Incarnation: s.Incarnation, Software: s.Software, BeganAt: startedAt})
	if !known || software != s.Software {
		t.progress.Discard()
	}
}

// notPlaced relaxes what the sample requires of its server: first it allows the server that
// failed last; if no server has the software version that the text so far needs, it drops
// the text.
func (t *sampleRun) notPlaced(ctx context.Context, err error) {
	f := rollout.FailureOf(err)
	if ctx.Err() == nil && f.Reason == rollout.ReasonNoServer && len(t.avoid) == 0 && t.progress.Software() != nil {
		t.restart(err)
	}
	t.avoid = nil
}

// dispatchRequest returns the request for a server that may continue the text so far. It
// waits for one no longer than it takes to generate the text again.
func (t *sampleRun) dispatchRequest(avoid []rollout.ServerName) dispatch.Request {
	req := t.runner.dispatchRequest(t.run, t.sample, avoid)
	req.Requirements.Software = t.progress.Software()
	req.SoftwareDeadline = t.heldUpSince.Add(min(maxSoftwareWait, time.Duration(t.progress.Pieces())*pieceTime))
	return req
}

// acquireFaster gets a place on a faster server if the run is long and one is free.
func (t *sampleRun) acquireFaster(ctx context.Context, current *dispatch.Grant) bool {
	maxSeconds, search := t.runner.searchFaster(current.Target(), &t.meter)
	if !search || t.moves >= maxMoves {
		return false
	}
	req := t.dispatchRequest([]rollout.ServerName{current.Server.Name})
	req.Requirements.MaxUnitTime, req.Immediate = maxSeconds, true
	grant, err := t.runner.manager.config.Dispatch.Acquire(ctx, req)
	if err != nil {
		// No faster server is free; the run goes on.
		return false
	}
	t.faster = grant
	return true
}

// admitUnscored waits until another sample with a scorer may be generated, and reports
// whether it may. A ticket is given up meanwhile, so that it reserves no slot.
func (r *runner) admitUnscored(ctx context.Context, ticket **dispatch.Ticket) bool {
	select {
	case r.unscored <- struct{}{}:
		return true
	default:
	}
	if *ticket != nil {
		(*ticket).Abandon()
		*ticket = nil
	}
	select {
	case r.unscored <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// storeFragment stores the text of an interrupted run for the next owner.
func (t *sampleRun) storeFragment() {
	stored := t.result.Text.Records > 0
	if stored || t.progress.Pieces() < minFragmentPieces || errors.Is(context.Cause(t.run.ctx), errOwnershipLost) {
		return
	}
	t.runner.manager.writers[t.run.partitionNumber].enqueue(t.fragmentOutput())
}

// fragmentOutput returns the text so far as a fragment.
func (t *sampleRun) fragmentOutput() sampleOutput {
	f := t.progress.Fragment(t.sample.ID, time.Now())
	f.Tenant = t.run.job.Tenant
	return sampleOutput{job: t.run.job.ID, text: slices.Clone(t.progress.Text()), fragment: f}
}

// finish logs the end of the sample and stores its result.
func (t *sampleRun) finish(outcome job.Outcome) {
	p, u := t.progress, t.run
	m := t.runner.manager
	result := t.result
	result.Outcome, result.Versions = outcome, p.Versions()
	output := sampleOutput{job: u.job.ID, text: p.Text(), result: &result, textStored: result.Text.Records > 0}
	if outcome != job.Done {
		result.Text, result.Versions, result.Score = job.Location{}, nil, ""
		output.text, output.textStored = nil, false
	}
	tagged := m.config.Metrics.Tagged(map[string]string{"model": string(u.submission.Model)})
	tagged.Histogram("sample_seconds", metrics.LatencyBuckets).RecordDuration(time.Since(u.submission.At))
	tagged.Counter("sample_runs").Inc(int64(len(t.servers)))
	if u.job.Tenant != "" {
		m.config.Metrics.Tagged(map[string]string{"tenant": m.config.TenantLabels.Value(u.job.Tenant)}).Counter("tenant_samples").Inc(1)
	}
	fields := event.Fields{
		"Job": u.job.ID, "Sample": t.sample.ID, "Outcome": outcome, "Pieces": p.Pieces(), "Resumed": t.resumedPieces, "Versions": p.Versions(),
		"Servers": t.servers, "Waited": t.queueTime.Seconds(), "Age": time.Since(u.submission.At).Seconds(), "Estimate": t.sample.Length, "NotRun": t.notRun, "Failures": p.Failures(),
	}
	if t.sample.Scorer != nil {
		fields["Scoring"], fields["ScoreAttempts"] = t.scoreTime.Seconds(), t.scoreAttempts
		tagged.Histogram("score_seconds", metrics.LatencyBuckets).RecordDuration(t.scoreTime)
	}
	m.config.Logger.Write(event.SampleEnded, fields)
	m.writers[u.partitionNumber].enqueue(output)
}

// resumeFromFragment resumes a sample from a fragment that an earlier run stored,
// possibly a run of another job.
func (t *sampleRun) resumeFromFragment() {
	m := t.runner.manager
	f, ok := m.longestFragment(t.run.job.Tenant, t.sample.ID)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(t.run.ctx, fragmentReadTimeout)
	defer cancel()
	text, err := m.reader.readOne(ctx, readRequest{kind: readFragment, job: t.run.job.ID, topic: job.TopicText}, f.Text)
	if err != nil {
		// The sample is generated from the start instead.
		m.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": f.Text.Partition, "Sample": t.sample.ID, "Error": err})
		return
	}
	if !t.progress.Resume(f, text) {
		return
	}
	t.resumedPieces, t.checkpointed = f.Pieces, f.Pieces
	if f.Whole {
		t.result.Text = f.Text
	}
}

// sampleRun is the state of one sample over all its attempts.
type sampleRun struct {
	runner   *runner
	run      *run
	sample   *job.Sample
	progress *job.Progress
	// routes is the routing table from which the constraints of progress were taken.
	routes *routing.Table
	avoid  []rollout.ServerName
	moves  int
	// heldUpSince is since when the sample waits for a server, or zero while it runs.
	heldUpSince time.Time
	// unconfirmed counts the servers in a row that did not confirm their incarnation.
	unconfirmed int
	// meter measures the current attempt.
	meter job.Meter
	// faster is a place on a faster server that the next attempt takes, or nil.
	faster *dispatch.Grant
	// resumedPieces is how many pieces existed before the first attempt, servers
	// are those that ran the sample, and queueTime is the total time spent waiting
	// for a server. They are only used for logs and metrics.
	resumedPieces int
	// checkpointed is how many pieces the newest checkpoint has.
	checkpointed int
	servers      []rollout.ServerName
	queueTime    time.Duration
	// notRun counts the attempts that did not run.
	notRun int
	// result is the result so far. Its text has a location once the text is stored.
	result job.Result
	// scoreTime is the time from the complete text to its score; it and scoreAttempts
	// are only used for logs and metrics.
	scoreTime     time.Duration
	scoreAttempts int
}

// attempt runs the sample on the granted server. It reports whether the text is complete
// or the sample abandoned, and which of them.
func (t *sampleRun) attempt(ctx context.Context, grant *dispatch.Grant) (outcome job.Outcome, done bool) {
	t.servers = append(t.servers, grant.Server.Name)
	t.heldUpSince = time.Time{}
	startedAt, before := time.Now(), t.progress.Pieces()
	err := t.generate(ctx, grant)
	generated := t.progress.Pieces() - before
	result := dispatch.Result{}
	if generated > 0 {
		result.SecondsPerUnit = (time.Since(startedAt) / time.Duration(generated)).Seconds()
		result.Pace = t.meter.PerPiece().Seconds()
	}
	f := rollout.FailureOf(err)
	switch {
	case err == nil:
		grant.Done(result)
		t.runner.observePace(grant.Target(), &t.meter)
		t.progress.MarkWhole()
		return job.Done, true
	case ctx.Err() != nil, errors.Is(err, errStaleWeights), errors.Is(err, errSlowServer):
		grant.Done(result)
	case f.Verdict == rollout.NotRun:
		refusal := placement.RefusalOutcome(f)
		refusal.SecondsPerUnit, refusal.Pace = result.SecondsPerUnit, result.Pace
		result.Outcome = refusal
		grant.Done(result)
	default:
		result.Failed, result.ConnectionLost = true, f.Verdict == rollout.MayHaveRun && !errors.Is(err, errPieceTimeout)
		grant.Done(result)
	}
	if ctx.Err() != nil {
		return 0, false
	}
	t.avoid = []rollout.ServerName{grant.Server.Name}
	if f.Verdict == rollout.NotRun {
		t.notRun++
	}
	// A sample may be refused often while its pool is full; each doubling is logged.
	if f.Verdict != rollout.NotRun || t.notRun&(t.notRun-1) == 0 {
		t.runner.manager.config.Logger.Write(event.SampleInterrupted, event.Fields{
			"Job": t.run.job.ID, "Sample": t.sample.ID, "Server": grant.Server.Name, "Pieces": t.progress.Pieces(), "Verdict": f.Verdict.String(), "NotRun": t.notRun, "Error": err,
		})
	}
	if f.Verdict == rollout.Ran && f.Reason == rollout.ReasonBadRequest {
		return job.Abandoned, true
	}
	t.constrain()
	if f.Verdict == rollout.Ran && f.Reason == rollout.ReasonServerFailed && t.progress.CountFailure() {
		return job.Abandoned, true
	}
	if f.Verdict == rollout.NotRun {
		pause.For(ctx, requeueDelay)
	}
	return 0, false
}

// generate runs the sample on the granted server until it ends or fails.
func (t *sampleRun) generate(ctx context.Context, grant *dispatch.Grant) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(firstPieceTimeout, func() { cancel(errPieceTimeout) })
	defer timer.Stop()
	reader, err := t.runner.manager.config.Engine.Sample(ctx, grant.Server, rollout.SampleRequest{
		ID: t.sample.ID, Host: t.run.submission.Host, Path: t.sample.Path,
		Header: t.sample.Header, Body: t.sample.Body, Pieces: t.progress.Pieces(), Tenant: t.run.job.Tenant,
	})
	if err != nil {
		return timeoutCause(ctx, err)
	}
	// A close error adds nothing to the last read error.
	defer func() { _ = reader.Close() }()
	t.meter = job.Meter{}
	version := rollout.WeightVersion(0)
	for {
		piece, err := reader.Next()
		if errors.Is(err, io.EOF) && t.progress.Pieces() > 0 {
			return nil
		}
		if err != nil {
			return timeoutCause(ctx, err)
		}
		timer.Reset(pieceTimeout)
		if piece.Version != version {
			version = piece.Version
			t.runner.manager.config.Fleet.ObserveVersion(grant.Server.Name, t.run.submission.Model, version)
		}
		if t.constrain() || t.progress.Add(piece) != job.Keep {
			return errStaleWeights
		}
		if t.progress.TooLong() {
			t.progress.Discard()
			return rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, errTextWithoutEnd)
		}
		t.meter.CountPiece(time.Now())
		t.checkpoint()
		if t.acquireFaster(ctx, grant) || t.moves < maxMoves && t.runner.isSlow(grant.Target(), &t.meter) {
			t.moves++
			return errSlowServer
		}
	}
}

// checkpoint stores the text of a long sample periodically, so that another owner
// can resume from there. It skips a checkpoint while the writer is behind.
func (t *sampleRun) checkpoint() {
	if t.progress.Pieces()-t.checkpointed < checkpointPieces {
		return
	}
	t.checkpointed = t.progress.Pieces()
	t.runner.manager.writers[t.run.partitionNumber].tryEnqueue(t.fragmentOutput())
}

func timeoutCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errPieceTimeout) {
		return errPieceTimeout
	}
	return err
}

// pace returns the pace of the runs at a target. The caller must hold r.mu.
func (r *runner) pace(target dispatch.Target) *job.Pace {
	p := r.paces[target]
	if p == nil {
		p = &job.Pace{}
		r.paces[target] = p
	}
	return p
}

func (r *runner) observePace(target dispatch.Target, m *job.Meter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace(target).Observe(m)
}

func (r *runner) isSlow(target dispatch.Target, m *job.Meter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace(target).Slow(m)
}

func (r *runner) searchFaster(target dispatch.Target, m *job.Meter) (maxSeconds float64, search bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace(target).Faster(m)
}
