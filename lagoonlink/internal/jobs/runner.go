package jobs

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/metrics"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/routing"
)

// Numbers of running samples.
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
	// defaultBehind is how many versions behind the newest samples may be, until
	// a submission tells.
	defaultBehind = 1
	// recent is how old a submission may be to tell how far behind it may be.
	recent = 3 * time.Second
	// fetchTimeout bounds the reading of a fragment before a run.
	fetchTimeout = time.Second
)

// errMoved ends a run that is slower than others.
var errMoved = errors.New("slower than other servers")

// errStale ends a run whose server's weights are too old.
var errStale = errors.New("the server's weights are too old")

// errSilent ends a run that made nothing for too long.
var errSilent = errors.New("no piece for too long")

// run is one job whose samples this VM runs.
type run struct {
	job        *job.Job
	submission *job.Submission
	number     int
	ctx        context.Context
	cancel     context.CancelCauseFunc
}

// Causes of the end of a run.
var (
	errEnded    = errors.New("the trainer ended the job")
	errDisowned = errors.New("another VM owns the job")
	errStopping = errors.New("the process stops")
)

// runner runs the samples of the jobs whose partitions this VM owns.
type runner struct {
	keeper *Keeper
	group  sync.WaitGroup

	mu     sync.Mutex
	ctx    context.Context
	runs   map[string]*run
	behind map[rollout.ModelName]uint64
	paces  map[rollout.ServiceName]*job.Pace
	closed bool
}

func newRunner(k *Keeper) *runner {
	return &runner{keeper: k, runs: map[string]*run{}, behind: map[rollout.ModelName]uint64{}, paces: map[rollout.ServiceName]*job.Pace{}}
}

// open lets runs start, until the context ends.
func (r *runner) open(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
}

// run follows the ownership until the context ends.
func (r *runner) run(ctx context.Context) {
	changes := r.keeper.config.Owner.Watch()
	for {
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.closed = true
			r.mu.Unlock()
			r.group.Wait()
			return
		case <-changes:
			r.owned(ctx)
		}
	}
}

// owned makes the runs agree with what this VM owns.
func (r *runner) owned(ctx context.Context) {
	k := r.keeper
	r.mu.Lock()
	for id, u := range r.runs {
		if !k.owns(u.number) {
			u.cancel(errDisowned)
			delete(r.runs, id)
		}
	}
	r.mu.Unlock()
	for n, p := range k.partitions {
		if k.owns(n) && r.enter() {
			r.group.Go(func() { r.adopt(ctx, n, p) })
			r.group.Done()
		}
	}
}

// enter holds the group of runs open until group.Done, unless it is closed:
// nothing may join it once its end is awaited.
func (r *runner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.ctx == nil {
		return false
	}
	r.group.Add(1)
	return true
}

// adopt starts the open jobs of a partition. It first reads on to the end, for
// another VM may have listed results meanwhile.
func (r *runner) adopt(ctx context.Context, number int, p *partition) {
	for r.keeper.catchUp(ctx, p) != nil {
		if pause.For(ctx, followRetry); ctx.Err() != nil {
			return
		}
	}
	p.mu.Lock()
	var open []job.Job
	for _, j := range p.fold.Jobs() {
		if !j.Ended && !j.Complete() {
			open = append(open, *j)
		}
	}
	p.mu.Unlock()
	for i := range open {
		r.mu.Lock()
		running := r.runs[open[i].ID] != nil
		r.mu.Unlock()
		if running {
			continue
		}
		s, err := r.keeper.submission(ctx, &open[i])
		if err != nil {
			r.keeper.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": p.id, "Job": open[i].ID, "Error": err})
			continue
		}
		r.start(number, s)
	}
}

// happened takes what a record changed.
func (r *runner) happened(number int, e job.Event) {
	switch {
	case e.Submission != nil:
		r.learn(e.Submission)
		if r.keeper.owns(number) {
			r.start(number, e.Submission)
		}
	case e.Ended || e.Job.Complete():
		r.mu.Lock()
		if u := r.runs[e.Job.ID]; u != nil {
			u.cancel(errEnded)
			delete(r.runs, e.Job.ID)
			r.keeper.config.Logger.Write(event.JobEnded, event.Fields{"Job": e.Job.ID, "Ended": e.Ended, "Listed": len(e.Job.Listed), "Total": e.Job.Total})
		}
		r.mu.Unlock()
	}
}

// learn notes how far behind the newest version a model's samples may be.
func (r *runner) learn(s *job.Submission) {
	if time.Since(s.At) > recent {
		return
	}
	named := r.keeper.config.Fleet.Named(s.Model)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behind[s.Model] = max(uint64(named-min(named, s.MinVersion)), r.behind[s.Model])
}

// Behind returns how many versions a model's samples may be behind the newest.
func (k *Keeper) Behind(m rollout.ModelName) uint64 {
	k.runner.mu.Lock()
	defer k.runner.mu.Unlock()
	if b, ok := k.runner.behind[m]; ok {
		return b
	}
	return defaultBehind
}

// Plan returns how far behind the newest version a model's samples may be, and
// how its engines change weights.
func (k *Keeper) Plan(m rollout.ModelName) (behind uint64, mode rollout.SwapMode) {
	v := k.config.InForce.Current()
	if v == nil || v.Routes == nil {
		return k.Behind(m), rollout.SwapAwait
	}
	for _, p := range v.Configuration.Pools {
		if slices.Contains(p.Models, m) && v.Routes.SingleVersion(rollout.ServiceName(p.Name)) {
			return k.Behind(m), rollout.SwapAwait
		}
	}
	return k.Behind(m), rollout.SwapContinue
}

// start runs a job's samples that have no result yet.
func (r *runner) start(number int, s *job.Submission) {
	if !r.enter() {
		return
	}
	defer r.group.Done()
	k := r.keeper
	p := k.partitions[number]
	p.mu.Lock()
	j, ok := p.fold.Job(s.ID)
	if !ok || j.Ended || j.Complete() {
		p.mu.Unlock()
		return
	}
	order := job.Order(s, func(i int) bool { return j.Position(i) >= 0 }, func(string) (int, bool) { return 0, false })
	p.mu.Unlock()
	r.mu.Lock()
	if r.runs[s.ID] != nil {
		r.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	u := &run{job: j, submission: s, number: number, ctx: ctx, cancel: cancel}
	r.runs[s.ID] = u
	r.mu.Unlock()
	k.config.Logger.Write(event.JobTaken, event.Fields{"Job": s.ID, "Samples": len(order), "Age": time.Since(s.At).Round(time.Millisecond).String()})
	for _, i := range order {
		ticket, err := k.config.Dispatch.Enqueue(r.ask(u, &s.Samples[i], nil))
		if err != nil {
			ticket = nil
		}
		r.group.Go(func() { r.sample(u, i, ticket) })
	}
}

// ask describes a sample to the dispatcher. The route in force decides which
// service runs it.
func (r *runner) ask(u *run, s *job.Sample, avoid []rollout.ServerName) dispatch.Ask {
	service, _ := r.service(u, s)
	return dispatch.Ask{
		Target: dispatch.Target{Pool: rollout.PoolName(service)},
		Want: placement.Want{
			Class: rollout.ClassRollout, Model: u.submission.Model, MinVersion: u.submission.MinVersion,
			Prefix: xxh3.HashString(s.Group), Avoid: avoid,
		},
		Tenant: u.submission.ID, Share: 1, Cost: float64(max(1, s.Length)),
		Fingerprint: request.Fingerprint(xxh3.Hash(s.Body) ^ xxh3.HashString(s.Path)),
	}
}

// service returns the service that runs a sample, and the route.
func (r *runner) service(u *run, s *job.Sample) (rollout.ServiceName, rollout.Route) {
	v := r.keeper.config.InForce.Current()
	if v == nil || v.Routes == nil {
		return "", rollout.Route{}
	}
	route, ok := v.Routes.Find(u.submission.Host, s.Path)
	if !ok {
		return "", rollout.Route{}
	}
	return routing.Choose(route, xxh3.HashString(s.ID)), route
}

// sample runs one sample until it has a result or the job ends.
func (r *runner) sample(u *run, index int, ticket *dispatch.Ticket) {
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
	return ended{text: slices.Clone(p.Text()), fragment: &job.Fragment{Sample: s.ID, Pieces: p.Pieces(), Versions: p.Versions()}}
}

func (r *runner) finish(u *run, index int, outcome job.Outcome, p *job.Progress, t *try) {
	result := &job.Result{Job: u.job.ID, Index: index, Outcome: outcome, Versions: p.Versions()}
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

// fragment returns the longest text kept of a broken-off sample.
func (k *Keeper) fragment(sample string) (job.Fragment, bool) {
	var best job.Fragment
	for _, p := range k.partitions {
		p.mu.Lock()
		if f, ok := p.fold.Fragment(sample); ok && f.Pieces > best.Pieces {
			best = f
		}
		p.mu.Unlock()
	}
	return best, best.Pieces > 0
}

// Stop ends all runs, and returns when what is left of them is in the journal or
// the context ends.
func (k *Keeper) Stop(ctx context.Context) {
	r := k.runner
	r.mu.Lock()
	r.closed = true
	for id, u := range r.runs {
		u.cancel(errStopping)
		delete(r.runs, id)
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		r.group.Wait()
		for _, w := range k.writers {
			w.pending.Wait()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// try is the attempts at one sample.
type try struct {
	runner   *runner
	run      *run
	sample   *job.Sample
	progress *job.Progress
	avoid    []rollout.ServerName
	moves    int
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
		t.runner.observe(t.run, t.sample, time.Since(begun), made)
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
	begun, made, seen := time.Now(), 0, rollout.WeightVersion(0)
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
		made++
		t.checkpoint()
		if t.moves < maxMoves && t.runner.slow(t.run, t.sample, made, time.Since(begun)) {
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

func (r *runner) observe(u *run, s *job.Sample, took time.Duration, pieces int) {
	if pieces == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace(u, s).Observe(took / time.Duration(pieces))
}

func (r *runner) slow(u *run, s *job.Sample, pieces int, took time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace(u, s).Slow(pieces, took)
}
