package jobs

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// Numbers of running one sample.
const (
	// silence is how long a run may go without a piece before it goes on
	// elsewhere. A piece takes about 40 ms, a change of weights about 1 s.
	silence = 1600 * time.Millisecond
	// firstSilence is the same before the first piece, where the engine may queue.
	firstSilence = 2500 * time.Millisecond
	// retryPause is the pause before a sample that was refused is queued again.
	retryPause = 40 * time.Millisecond
	// noServerPause is the pause while no server may take a sample.
	noServerPause = 150 * time.Millisecond
	// maxMoves bounds how often one sample is moved for its pace.
	maxMoves = 3
	// fragmentPieces is the least text that is worth keeping of a broken-off run.
	fragmentPieces = 4
	// checkpointPieces is after how many more pieces a running sample's text is
	// kept, about 1.6 s: what the loss of its owner costs at most. Most samples
	// are shorter and are never kept before their end.
	checkpointPieces = 40
	// retentionSlack is how much later than its retention a sample is given up:
	// the clocks of VMs differ.
	retentionSlack = 3 * time.Second
	// fetchTimeout bounds the reading of a fragment before a run.
	fetchTimeout = time.Second
)

// errMoved ends a run that is slower than others.
var errMoved = errors.New("slower than other servers")

// errStale ends a run whose server's weights are too old.
var errStale = errors.New("the server's weights are too old")

// errSilent ends a run that made nothing for too long.
var errSilent = errors.New("no piece for too long")

// sample runs one sample until it has a result or the job ends.
func (r *runner) sample(u *run, index int, ticket *dispatch.Ticket) {
	// A job may end before its sample waits for its place.
	defer func() {
		if ticket != nil {
			ticket.Abandon()
		}
	}()
	k := r.keeper
	s := &u.submission.Samples[index]
	_, route := r.service(u, s)
	progress := job.NewProgress(job.Terms{
		MinVersion: u.submission.MinVersion, SingleVersion: route.SingleVersion, MaxFailures: route.MaxAttempts,
	})
	r.resume(u, s, progress)
	ctx, cancel := context.WithDeadline(u.ctx, u.submission.At.Add(u.submission.Retention+retentionSlack))
	defer cancel()
	t := try{runner: r, run: u, sample: s, progress: progress, resumed: progress.Pieces(), saved: progress.Pieces()}
	for ctx.Err() == nil {
		outcome, over := t.once(ctx, ticket)
		ticket = nil
		if over {
			r.finish(u, index, outcome, progress, &t)
			return
		}
		var err error
		if ticket, err = k.config.Dispatch.Enqueue(r.ask(u, s, t.avoid)); err != nil {
			pause.For(ctx, noServerPause)
			ticket = nil
		}
	}
	if u.ctx.Err() == nil {
		k.config.Logger.Write(event.SampleGivenUp, event.Fields{"Job": u.job.ID, "Sample": s.ID, "Cause": "Retention", "Age": time.Since(u.submission.At).String()})
		r.finish(u, index, job.GivenUp, job.NewProgress(job.Terms{}), &t)
		return
	}
	if cause := context.Cause(u.ctx); progress.Pieces() >= fragmentPieces && !errors.Is(cause, errDisowned) {
		k.writers[u.number].put(fragmentOf(s, progress))
	}
}

// fragmentOf returns the text so far, to be kept.
func fragmentOf(s *job.Sample, p *job.Progress) ended {
	return ended{text: slices.Clone(p.Text()), fragment: &job.Fragment{Sample: s.ID, At: time.Now(), Pieces: p.Pieces(), Versions: p.Versions()}}
}

func (r *runner) finish(u *run, index int, outcome job.Outcome, p *job.Progress, t *try) {
	result := &job.Result{Job: u.job.ID, Sample: t.sample.ID, Index: index, Outcome: outcome, Versions: p.Versions()}
	text := p.Text()
	if outcome != job.Done {
		text, result.Versions = nil, nil
	}
	tagged := r.keeper.config.Metrics.Tagged(map[string]string{"model": string(u.submission.Model)})
	tagged.Histogram("sample_seconds", metrics.Latencies).RecordDuration(time.Since(u.submission.At))
	tagged.Counter("sample_runs").Inc(int64(len(t.servers)))
	r.keeper.config.Logger.Write(event.SampleMade, event.Fields{
		"Job": u.job.ID, "Sample": t.sample.ID, "Outcome": outcome, "Pieces": p.Pieces(), "Resumed": t.resumed, "Versions": p.Versions(),
		"Servers": t.servers, "Waited": t.waited.Seconds(), "Age": time.Since(u.submission.At).Seconds(), "Estimate": t.sample.Length,
	})
	r.keeper.writers[u.number].put(ended{text: text, result: result})
}

// resume starts from a text that another job's run of the sample left.
func (r *runner) resume(u *run, s *job.Sample, progress *job.Progress) {
	f, ok := r.keeper.fragment(s.ID)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(u.ctx, fetchTimeout)
	defer cancel()
	texts, err := r.keeper.texts(ctx, []job.Result{{Text: f.Text}})
	if err != nil {
		// The sample is made from its start instead.
		r.keeper.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": f.Text.Partition, "Sample": s.ID, "Error": err})
		return
	}
	progress.Resume(f, texts[0])
}

// try is the attempts at one sample.
type try struct {
	runner   *runner
	run      *run
	sample   *job.Sample
	progress *job.Progress
	avoid    []rollout.ServerName
	moves    int
	// meter measures the newest run.
	meter job.Meter
	// resumed is how many pieces were there before the first run, servers are
	// those that ran it, waited is the time in the queue: all for the log.
	resumed int
	// saved is how many pieces the newest checkpoint has.
	saved   int
	servers []rollout.ServerName
	waited  time.Duration
}

// once waits for a server and runs the sample there. It reports how the sample
// ended, if it did.
func (t *try) once(ctx context.Context, ticket *dispatch.Ticket) (outcome job.Outcome, over bool) {
	if ticket == nil {
		return 0, false
	}
	asked := time.Now()
	grant, err := ticket.Wait(ctx)
	t.waited += time.Since(asked)
	if err != nil {
		t.avoid = nil
		pause.For(ctx, noServerPause)
		return 0, false
	}
	t.servers = append(t.servers, grant.Server.Name)
	begun, before := time.Now(), t.progress.Pieces()
	err = t.generate(ctx, grant)
	made := t.progress.Pieces() - before
	result := dispatch.Result{}
	if made > 0 {
		result.PerUnit = (time.Since(begun) / time.Duration(made)).Seconds()
	}
	f := rollout.FailureOf(err)
	switch {
	case err == nil:
		grant.Done(result)
		t.runner.observe(t.run, t.sample, &t.meter)
		return job.Done, true
	case ctx.Err() != nil, errors.Is(err, errStale), errors.Is(err, errMoved):
		grant.Done(result)
	case f.Verdict == rollout.NotRun:
		result.Refused = f.Reason == rollout.ReasonServerRefused
		result.Failed = !result.Refused
		grant.Done(result)
	default:
		result.Failed, result.Broken = true, f.Verdict == rollout.MayHaveRun && !errors.Is(err, errSilent)
		grant.Done(result)
	}
	if ctx.Err() != nil {
		return 0, false
	}
	t.avoid = []rollout.ServerName{grant.Server.Name}
	t.runner.keeper.config.Logger.Write(event.SampleInterrupted, event.Fields{
		"Job": t.run.job.ID, "Sample": t.sample.ID, "Server": grant.Server.Name, "Pieces": t.progress.Pieces(), "Verdict": f.Verdict.String(), "Error": err,
	})
	if f.Verdict == rollout.Ran && f.Reason == rollout.ReasonBadRequest {
		return job.GivenUp, true
	}
	if f.Verdict == rollout.Ran && f.Reason == rollout.ReasonServerFailed && t.progress.Failed() {
		return job.GivenUp, true
	}
	if f.Verdict == rollout.NotRun {
		pause.For(ctx, retryPause)
	}
	return 0, false
}

// generate runs the sample on a server to its end.
func (t *try) generate(ctx context.Context, grant *dispatch.Grant) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(firstSilence, func() { cancel(errSilent) })
	defer watch.Stop()
	reader, err := t.runner.keeper.config.Engine.Sample(ctx, grant.Server, rollout.SampleRequest{
		ID: t.sample.ID, Host: t.run.submission.Host, Path: t.sample.Path,
		Header: t.sample.Header, Body: t.sample.Body, Pieces: t.progress.Pieces(),
	})
	if err != nil {
		return silent(ctx, err)
	}
	// The reader's end has nothing more to tell than its last error.
	defer func() { _ = reader.Close() }()
	t.meter = job.Meter{}
	seen := rollout.WeightVersion(0)
	for {
		piece, err := reader.Next()
		if errors.Is(err, io.EOF) && t.progress.Pieces() > 0 {
			return nil
		}
		if err != nil {
			return silent(ctx, err)
		}
		watch.Reset(silence)
		if piece.Version != seen {
			seen = piece.Version
			t.runner.keeper.config.Fleet.Saw(grant.Server.Name, t.run.submission.Model, seen)
		}
		if t.progress.Add(piece) != job.Keep {
			return errStale
		}
		t.meter.Piece(time.Now())
		t.checkpoint()
		if t.moves < maxMoves && t.runner.slow(t.run, t.sample, &t.meter) {
			t.moves++
			return errMoved
		}
	}
}

// checkpoint keeps the text of a long sample now and then, so that another owner
// goes on from there. It is left out while the writer is behind.
func (t *try) checkpoint() {
	if t.progress.Pieces()-t.saved < checkpointPieces {
		return
	}
	t.saved = t.progress.Pieces()
	t.runner.keeper.writers[t.run.number].offer(fragmentOf(t.sample, t.progress))
}

// silent returns why a run was broken off, if it was for its silence.
func silent(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return errSilent
	}
	return err
}

func (r *runner) pace(u *run, s *job.Sample) *job.Pace {
	service, _ := r.service(u, s)
	p := r.paces[service]
	if p == nil {
		p = &job.Pace{}
		r.paces[service] = p
	}
	return p
}

func (r *runner) observe(u *run, s *job.Sample, m *job.Meter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace(u, s).Observe(m)
}

func (r *runner) slow(u *run, s *job.Sample, m *job.Meter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace(u, s).Slow(m)
}
