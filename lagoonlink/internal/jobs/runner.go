package jobs

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sync/semaphore"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/routing"
	"lagoonlink.org/rollout/scoring"
)

// Defaults for the jobs that this VM runs.
const (
	// defaultMaxVersionsBehind is how many versions a model's samples may be behind
	// the newest until a submission shows the actual number.
	defaultMaxVersionsBehind = 1
	// maxSubmissionAge is the maximum age of a submission from which the number of
	// versions that samples may be behind is derived.
	maxSubmissionAge = 3 * time.Second
	// runMemoryShare is the divisor of the VM's memory for the jobs that run at the same time.
	// Half of it is for small jobs, which take up to a smallJobShare-th of it.
	runMemoryShare = 3
	smallJobShare  = 8
)

// run is a job whose samples this VM runs.
type run struct {
	job             *job.Job
	submission      *job.Submission
	partitionNumber int
	ctx             context.Context
	cancel          context.CancelCauseFunc
	// samples are those in progress.
	samples sync.WaitGroup
}

// Reasons for canceling a run.
var (
	errJobEnded      = errors.New("the job has ended")
	errOwnershipLost = errors.New("another VM owns the job")
	errShuttingDown  = errors.New("the process is shutting down")
	errHandedOver    = errors.New("this VM reaches no backend server")
)

// runner runs the samples of the jobs in the partitions that this VM owns.
type runner struct {
	manager *Manager
	group   sync.WaitGroup

	mu     sync.Mutex
	ctx    context.Context
	runs   map[string]*run
	behind map[rollout.ModelName]uint64
	paces  map[dispatch.Target]*job.Pace
	// scoreTimes holds the response times of the scorers' routes, by name.
	scoreTimes map[string]*scoring.ResponseTimes
	closed     bool
	// unscored has an element for each sample with a scorer that is generated or scored.
	unscored chan struct{}
	// memory bounds the jobs that run at the same time, small and large ones apart, so that
	// large ones don't hold up small ones. Of those that wait, the one that has waited longest
	// is first.
	memory struct{ small, large *semaphore.Weighted }
	// memoryBytes is the capacity of each part of memory, or 0 if there is no bound because
	// the VM's memory is unknown.
	memoryBytes int
}

func newRunner(m *Manager) *runner {
	r := &runner{
		manager: m, runs: map[string]*run{}, behind: map[rollout.ModelName]uint64{}, paces: map[dispatch.Target]*job.Pace{},
		scoreTimes: map[string]*scoring.ResponseTimes{}, unscored: make(chan struct{}, maxUnscored),
	}
	if r.memoryBytes = m.config.MemoryBytes / runMemoryShare / 2; r.memoryBytes > 0 {
		r.memory.small, r.memory.large = semaphore.NewWeighted(int64(r.memoryBytes)), semaphore.NewWeighted(int64(r.memoryBytes))
	}
	return r
}

// reserve waits for the memory to run a job and returns the function that releases it. A job
// that needs more than there is runs alone.
func (r *runner) reserve(ctx context.Context, j *job.Accepted) (release func(), err error) {
	if r.memoryBytes == 0 {
		return func() {}, nil
	}
	n, memory := int64(min(j.RunBytes(), r.memoryBytes)), r.memory.large
	if j.RunBytes() <= 2*r.memoryBytes/smallJobShare {
		memory = r.memory.small
	}
	if !memory.TryAcquire(n) {
		r.manager.config.Logger.Write(event.JobWaits, event.Fields{"Job": j.ID, "Samples": j.Total, "Bytes": n, "Capacity": r.memoryBytes})
		if err := memory.Acquire(ctx, n); err != nil {
			return nil, err
		}
	}
	return func() { memory.Release(n) }, nil
}

// allowRuns allows runs to start. They are canceled when ctx is done.
func (r *runner) allowRuns(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
}

// run responds to changes of ownership until ctx is done, and then waits for all
// runs to end.
func (r *runner) run(ctx context.Context) {
	changes := r.manager.config.Owner.Watch()
	for {
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.closed = true
			r.mu.Unlock()
			r.group.Wait()
			return
		case <-changes:
			r.reconcile(ctx)
		}
	}
}

// reconcile cancels the runs of partitions that this VM no longer owns and starts
// the open jobs of those that it owns.
func (r *runner) reconcile(ctx context.Context) {
	m := r.manager
	r.mu.Lock()
	for id, u := range r.runs {
		if !m.owns(u.partitionNumber) {
			u.cancel(errOwnershipLost)
			delete(r.runs, id)
		}
	}
	r.mu.Unlock()
	for n, p := range m.partitions {
		p.wake()
		if m.owns(n) && r.joinGroup() {
			r.group.Go(func() { r.startPartition(ctx, n, p) })
			r.group.Done()
		}
	}
}

// joinGroup increments the counter of the group of runs and reports whether it did.
// If so, the caller must call group.Done. It returns false once the runner is
// closed, because the counter must not grow while the group is waited for.
func (r *runner) joinGroup() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.ctx == nil {
		return false
	}
	r.group.Add(1)
	return true
}

// startPartition starts the open jobs of a partition. It first reads the partition
// to its end, because another VM may have listed results in the meantime.
func (r *runner) startPartition(ctx context.Context, number int, p *partition) {
	for r.manager.catchUp(ctx, p) != nil {
		if pause.For(ctx, readRetryDelay); ctx.Err() != nil {
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
		r.group.Go(func() { r.startJob(number, j) })
	}
}

// startJob waits for the memory that a job needs, reads its submission and starts its samples
// unless the job is already running.
func (r *runner) startJob(number int, j *job.Accepted) {
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	if !r.mayStart(number, j.ID) {
		return
	}
	release, err := r.reserve(ctx, j)
	if err != nil {
		return
	}
	u := r.readAndStart(ctx, number, j)
	if u == nil {
		release()
		return
	}
	r.group.Go(func() {
		u.samples.Wait()
		release()
	})
}

// readAndStart reads a job's submission and starts its samples. It returns nil if the job
// doesn't run.
func (r *runner) readAndStart(ctx context.Context, number int, j *job.Accepted) *run {
	for {
		if !r.mayStart(number, j.ID) {
			return nil
		}
		s, err := r.manager.readSubmission(ctx, j)
		if err == nil {
			r.manager.catchUpUnowned(ctx)
			if r.manager.mayStartRuns(number) {
				return r.startSamples(number, s)
			}
			return nil
		}
		r.manager.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": j.Submission.Partition, "Job": j.ID, "Error": err})
		var trimmed *rollout.TrimmedError
		if pause.For(ctx, readRetryDelay); errors.As(err, &trimmed) || ctx.Err() != nil {
			return nil
		}
	}
}

// mayStart reports whether a job, which may have waited, is open and still to be started here.
func (r *runner) mayStart(number int, id string) bool {
	r.mu.Lock()
	excluded := r.closed || r.runs[id] != nil
	r.mu.Unlock()
	j, ok := r.manager.partitions[number].job(id)
	return !excluded && ok && !j.Ended && !j.Complete() && r.manager.mayStartRuns(number)
}

// handleEvent starts or cancels a job's run after a record changed the job.
func (r *runner) handleEvent(number int, e job.Event) {
	switch {
	case e.First:
		r.updateBehind(e.Job)
		if r.manager.mayStartRuns(number) && r.joinGroup() {
			r.group.Go(func() { r.startJob(number, e.Job) })
			r.group.Done()
		}
	case e.Ended || e.Complete:
		r.mu.Lock()
		if u := r.runs[e.Job.ID]; u != nil {
			u.cancel(errJobEnded)
			delete(r.runs, e.Job.ID)
			r.manager.config.Logger.Write(event.JobEnded, event.Fields{"Job": e.Job.ID, "Ended": e.Ended, "Listed": e.Listed, "Total": e.Job.Total})
		}
		r.mu.Unlock()
	}
}

// updateBehind derives from a submission how many versions a model's samples may
// be behind the newest, and keeps the maximum.
func (r *runner) updateBehind(s *job.Accepted) {
	if time.Since(s.At) > maxSubmissionAge {
		return
	}
	newest := r.manager.config.Fleet.NewestVersion(s.Model)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behind[s.Model] = max(uint64(newest-min(newest, s.MinVersion)), r.behind[s.Model])
}

// MaxVersionsBehind returns how many versions a model's samples may be behind the
// newest.
func (m *Manager) MaxVersionsBehind(model rollout.ModelName) uint64 {
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	if b, ok := m.runner.behind[model]; ok {
		return b
	}
	return defaultMaxVersionsBehind
}

// SwapPolicy returns how many versions a model's samples may be behind the
// newest, and how the model's engines change weights.
func (m *Manager) SwapPolicy(model rollout.ModelName) (behind uint64, mode rollout.SwapMode) {
	v := m.config.InForce.Current()
	if v == nil || v.Routes == nil {
		return m.MaxVersionsBehind(model), rollout.SwapAwait
	}
	for _, p := range v.Configuration.Pools {
		if slices.Contains(p.Models, model) && v.Routes.SingleVersion(rollout.ServiceName(p.Name)) {
			return m.MaxVersionsBehind(model), rollout.SwapAwait
		}
	}
	return m.MaxVersionsBehind(model), rollout.SwapContinue
}

// startSamples runs a job's samples that have no result yet. It returns nil if the job must
// not run.
func (r *runner) startSamples(number int, s *job.Submission) *run {
	if !r.joinGroup() {
		return nil
	}
	defer r.group.Done()
	m := r.manager
	u, order := r.register(number, s)
	if u == nil {
		return nil
	}
	configuration := rollout.ConfigurationVersion(0)
	if v := m.config.InForce.Current(); v != nil && v.Routes != nil {
		configuration = v.Routes.Version()
	}
	m.config.Logger.Write(event.JobStarted, event.Fields{
		"Job": s.ID, "Samples": len(order), "Age": time.Since(s.At).Round(time.Millisecond).String(), "Configuration": configuration,
	})
	for _, i := range order {
		ticket, err := m.config.Dispatch.Enqueue(r.dispatchRequest(u, &s.Samples[i], nil))
		if err != nil {
			ticket = nil
		}
		u.samples.Add(1)
		r.group.Go(func() {
			defer u.samples.Done()
			r.runSample(u, i, ticket)
		})
	}
	return u
}

// register registers the run of a job and returns it with the samples to start, in
// order. It returns nil if the job must not run on this VM or already does. Events that
// forbid the run change the fold, the ownership or closed before they cancel the
// registered runs, so register holds both locks while it checks all of them.
func (r *runner) register(number int, s *job.Submission) (*run, []int) {
	p := r.manager.partitions[number]
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.fold.Job(s.ID)
	if !ok || j.Ended || j.Complete() {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.runs[s.ID] != nil || !r.manager.mayStartRuns(number) {
		return nil, nil
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	u := &run{job: j, submission: s, partitionNumber: number, ctx: ctx, cancel: cancel}
	r.runs[s.ID] = u
	return u, job.StartOrder(s, func(i int) bool { return j.Position(i) >= 0 }, func(string) (int, bool) { return 0, false })
}

// dispatchRequest returns the request to the dispatcher for a server to run a
// sample. The route in force when it is granted determines the service that runs it.
func (r *runner) dispatchRequest(u *run, s *job.Sample, avoid []rollout.ServerName) dispatch.Request {
	return dispatch.Request{
		Resolve: func(v *inforce.View) (dispatch.Target, error) {
			return resolveRoute(v, u.submission.Host, s.Path, s.ID)
		},
		Requirements: placement.Requirements{
			Class: rollout.ClassRollout, Model: u.submission.Model, MinVersion: u.submission.MinVersion,
			Prefix: xxh3.HashString(s.Group), Avoid: avoid,
		},
		Tenant: u.submission.ID, Share: 1, Cost: float64(max(1, s.Length)),
		Fingerprint: request.Fingerprint(xxh3.Hash(s.Body) ^ xxh3.HashString(s.Path)), Deferred: true,
		// The platform's pages say so of the items of jobs.
		Harmless: true,
	}
}

// resolveRoute returns the target of a request under a configuration. The key chooses
// among the services of a split route.
func resolveRoute(v *inforce.View, host, path, key string) (dispatch.Target, error) {
	route, ok := rollout.Route{}, false
	if v.Routes != nil {
		route, ok = v.Routes.Find(host, path)
	}
	if !ok {
		return dispatch.Target{}, rollout.Refuse(rollout.ReasonUnknownTarget, "no route of host %s matches path %s", host, path)
	}
	return dispatch.TargetOf(v, routing.Choose(route, xxh3.HashString(key))), nil
}

// findRoute returns the route of a sample under a configuration, which may be nil.
func (u *run) findRoute(v *inforce.View, s *job.Sample) (rollout.Route, bool) {
	if v == nil || v.Routes == nil {
		return rollout.Route{}, false
	}
	return v.Routes.Find(u.submission.Host, s.Path)
}

// catchUpUnowned reads all partitions that this VM does not own to their ends,
// because any of them may hold a fragment of a sample.
func (m *Manager) catchUpUnowned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fragmentReadTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range m.partitions {
		if m.owns(p.id.Number) {
			continue
		}
		group.Go(func() {
			if err := m.catchUp(ctx, p); err != nil {
				// Samples whose fragments are not found are generated from the
				// start.
				m.config.Logger.Write(event.JournalUnreadable, event.Fields{"Partition": p.id, "Error": err})
			}
		})
	}
	group.Wait()
}

func (m *Manager) longestFragment(tenant, sample string) (job.Fragment, bool) {
	var best job.Fragment
	for _, p := range m.partitions {
		p.mu.Lock()
		if f, ok := p.fold.Fragment(tenant, sample); ok && f.Extends(best) {
			best = f
		}
		p.mu.Unlock()
	}
	return best, best.Pieces > 0
}

// handOverDelay is the time for which HandOver lets canceled runs store what they have
// generated, before the next owner looks for it.
const handOverDelay = 150 * time.Millisecond

// HandOver cancels all runs, so that other VMs continue them from what they have generated.
func (m *Manager) HandOver(ctx context.Context) {
	r := m.runner
	r.mu.Lock()
	for id, u := range r.runs {
		u.cancel(errHandedOver)
		delete(r.runs, id)
	}
	r.mu.Unlock()
	pause.For(ctx, handOverDelay)
}

// Stop cancels all runs. It returns when their remaining output is in the journal
// or ctx is done.
func (m *Manager) Stop(ctx context.Context) {
	r := m.runner
	r.mu.Lock()
	r.closed = true
	for id, u := range r.runs {
		u.cancel(errShuttingDown)
		delete(r.runs, id)
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		r.group.Wait()
		for _, w := range m.writers {
			w.pending.Wait()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
