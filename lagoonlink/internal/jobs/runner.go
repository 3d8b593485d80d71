package jobs

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/routing"
)

// Numbers of the jobs that this VM runs.
const (
	// defaultBehind is how many versions behind the newest samples may be, until
	// a submission tells.
	defaultBehind = 1
	// recent is how old a submission may be to tell how far behind it may be.
	recent = 3 * time.Second
)

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
		p.wake()
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
	var open []*job.Accepted
	for _, j := range p.fold.Jobs() {
		if !j.Ended && !j.Complete() {
			open = append(open, &j.Accepted)
		}
	}
	p.mu.Unlock()
	for _, j := range open {
		r.group.Go(func() { r.take(number, j) })
	}
}

// take reads a job's submission and starts it, unless it runs already.
func (r *runner) take(number int, j *job.Accepted) {
	r.mu.Lock()
	ctx, running := r.ctx, r.runs[j.ID] != nil
	r.mu.Unlock()
	if running {
		return
	}
	for {
		s, err := r.keeper.submission(ctx, j)
		if err == nil {
			r.keeper.readFragments(ctx)
			if r.keeper.begins(number) {
				r.start(number, s)
			}
			return
		}
		r.keeper.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": j.Submission.Partition, "Job": j.ID, "Error": err})
		var trimmed *rollout.TrimmedError
		if pause.For(ctx, followRetry); errors.As(err, &trimmed) || ctx.Err() != nil || !r.keeper.begins(number) {
			return
		}
	}
}

// happened takes what a record changed.
func (r *runner) happened(number int, e job.Event) {
	switch {
	case e.First:
		r.learn(e.Job)
		if r.keeper.begins(number) && r.enter() {
			r.group.Go(func() { r.take(number, e.Job) })
			r.group.Done()
		}
	case e.Ended || e.Complete:
		r.mu.Lock()
		if u := r.runs[e.Job.ID]; u != nil {
			u.cancel(errEnded)
			delete(r.runs, e.Job.ID)
			r.keeper.config.Logger.Write(event.JobEnded, event.Fields{"Job": e.Job.ID, "Ended": e.Ended, "Listed": e.Listed, "Total": e.Job.Total})
		}
		r.mu.Unlock()
	}
}

// learn notes how far behind the newest version a model's samples may be.
func (r *runner) learn(s *job.Accepted) {
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

// readFragments reads all partitions on to their ends, for a sample may have left
// its text with a job of any of them.
func (k *Keeper) readFragments(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range k.partitions {
		if k.owns(p.id.Number) {
			continue
		}
		group.Go(func() {
			if err := k.catchUp(ctx, p); err != nil {
				// Samples whose texts are not found are made from their start.
				k.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": p.id, "Error": err})
			}
		})
	}
	group.Wait()
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
