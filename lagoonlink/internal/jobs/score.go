package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/scoring"
)

const (
	// maxUnscored limits the samples with a scorer that a VM generates and scores at
	// the same time, and with them the memory of their texts. While the scoring service
	// is down, no further samples are generated.
	maxUnscored = 512
	// maxScoreAttempts is the number of attempts to score one sample that may be in
	// progress at the same time.
	maxScoreAttempts = 2
	// defaultScoreTimeout limits an attempt if the scorer's route has no timeout.
	defaultScoreTimeout = 10 * time.Second
)

// errNoScorerRoute means that no route matches the host and path of a scorer.
var errNoScorerRoute = errors.New("no route matches the scorer")

// scoreEvent is a step of an attempt to score a sample: the attempt was sent to a server
// or it ended.
type scoreEvent struct {
	ended  bool
	server rollout.ServerName
	score  string
	err    error
	// route is the scorer's route at the time of the attempt.
	route rollout.Route
	took  time.Duration
}

// scorer scores the text of one sample.
type scorer struct {
	run      *sampleRun
	attempts scoring.Attempts
	avoid    []rollout.ServerName
	// inProgress is the number of attempts that have not ended.
	inProgress int
	events     chan scoreEvent
	group      sync.WaitGroup
}

// score stores the complete text of a sample and then asks for its score. It returns
// false if ctx ended first. The text is stored before the first attempt, so that another
// owner that takes over does not generate it again.
func (t *sampleRun) score(ctx context.Context) (outcome job.Outcome, done bool) {
	startedAt := time.Now()
	defer func() { t.scoreTime = time.Since(startedAt) }()
	if !t.storeText(ctx) {
		return 0, false
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	s := &scorer{run: t, events: make(chan scoreEvent)}
	defer s.group.Wait()
	defer cancel()
	s.start(attemptCtx)
	// The timer runs while the newest attempt is at a server.
	slow := time.NewTimer(defaultScoreTimeout)
	slow.Stop()
	defer slow.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, false
		case <-slow.C:
			s.start(attemptCtx)
		case e := <-s.events:
			if !e.ended {
				slow.Reset(t.runner.scoreLimit(e.route))
				continue
			}
			s.inProgress--
			if e.err == nil {
				t.result.Score = e.score
				t.runner.observeScoreTime(e.route, e.took)
				return job.Done, true
			}
			if s.failed(ctx, e) {
				return job.Abandoned, true
			}
			if s.inProgress == 0 {
				s.start(attemptCtx)
			}
		}
	}
}

// storeText waits until the complete text is in the journal.
func (t *sampleRun) storeText(ctx context.Context) bool {
	if t.result.Text.Records > 0 {
		return true
	}
	stored := make(chan job.Location, 1)
	output := t.fragmentOutput()
	output.stored = stored
	t.runner.manager.writers[t.run.partitionNumber].enqueue(output)
	select {
	case t.result.Text = <-stored:
		return true
	case <-ctx.Done():
		return false
	}
}

// start starts an attempt unless enough are in progress.
func (s *scorer) start(ctx context.Context) {
	if s.inProgress >= maxScoreAttempts {
		return
	}
	s.inProgress++
	avoid, rank := s.avoid, s.attempts.Rank(s.run.runner.missingInGroup(s.run.run, s.run.sample))
	s.run.scoreAttempts++
	s.group.Go(func() {
		e := s.run.attemptScore(ctx, avoid, rank, s.events)
		e.ended = true
		select {
		case s.events <- e:
		case <-ctx.Done():
		}
	})
}

// failed records a failed attempt and reports whether the sample is given up. It waits
// before it returns if the next attempt has to wait.
func (s *scorer) failed(ctx context.Context, e scoreEvent) bool {
	t := s.run
	f := rollout.FailureOf(e.err)
	s.attempts.MaxFailures = e.route.MaxAttempts
	d := s.attempts.Failed(f)
	t.runner.manager.config.Logger.Write(event.ScoreFailed, event.Fields{
		"Job": t.run.job.ID, "Sample": t.sample.ID, "Request": t.sample.Scorer.ID, "Server": e.server, "Verdict": f.Verdict.String(),
		"Failures": s.attempts.Failures(), "GivenUp": d.GiveUp, "Took": e.took.String(), "Error": e.err,
	})
	s.avoid = nil
	if e.server != "" {
		s.avoid = []rollout.ServerName{e.server}
	}
	if !d.GiveUp && s.inProgress == 0 {
		pause.For(ctx, d.Delay)
	}
	return d.GiveUp
}

// attemptScore makes one attempt to score the text. It sends an event when the request
// is about to be sent, and returns the one that ends the attempt.
func (t *sampleRun) attemptScore(ctx context.Context, avoid []rollout.ServerName, rank int, events chan<- scoreEvent) scoreEvent {
	m := t.runner.manager
	q := t.sample.Scorer
	v, err := m.config.InForce.Require()
	if err != nil {
		return scoreEvent{err: err}
	}
	route, ok := v.Routes.Find(q.Host, q.Path)
	if !ok {
		return scoreEvent{err: rollout.Fail(rollout.NotRun, rollout.ReasonUnknownTarget, errNoScorerRoute)}
	}
	e := scoreEvent{route: route}
	grant, err := m.config.Dispatch.Acquire(ctx, dispatch.Request{
		Resolve:      func(v *inforce.View) (dispatch.Target, error) { return resolveRoute(v, q.Host, q.Path, q.ID) },
		Requirements: placement.Requirements{Class: rollout.ClassScoring, Avoid: avoid},
		Tenant:       t.run.job.ID, Share: 1, Cost: 1, Rank: rank,
		Fingerprint: request.Fingerprint(xxh3.HashString(q.Host+q.Path) ^ xxh3.Hash(q.Body)), Deferred: true,
	})
	if err != nil {
		e.err = err
		return e
	}
	if r, ok := m.config.InForce.Current().Routes.Find(q.Host, q.Path); ok {
		e.route = r
	}
	e.server = grant.Server.Name
	select {
	case events <- e:
	case <-ctx.Done():
	}
	timeout := e.route.Timeout
	if timeout <= 0 {
		timeout = defaultScoreTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := time.Now()
	e.score, e.err = m.config.Scorer.Score(callCtx, grant.Server, rollout.ScoreRequest{ID: q.ID, Host: q.Host, Path: q.Path, Body: q.Body, Tenant: t.run.job.Tenant})
	e.took = time.Since(startedAt)
	grant.Done(scoreResult(ctx, e))
	return e
}

// scoreResult returns what an attempt says about its server. A failure that the server
// reported itself says nothing, because some samples fail everywhere.
func scoreResult(ctx context.Context, e scoreEvent) dispatch.Result {
	if e.err == nil {
		return dispatch.Result{Outcome: placement.Outcome{SecondsPerUnit: e.took.Seconds()}}
	}
	f := rollout.FailureOf(e.err)
	if ctx.Err() != nil || f.Verdict == rollout.Ran {
		return dispatch.Result{}
	}
	outcome := placement.Outcome{Failed: true}
	if f.Verdict == rollout.NotRun {
		outcome = placement.RefusalOutcome(f)
	}
	return dispatch.Result{
		Outcome:        outcome,
		ConnectionLost: f.Verdict == rollout.MayHaveRun && f.Reason != rollout.ReasonDeadline,
	}
}

// missingInGroup returns the number of samples of a sample's group that have no result.
func (r *runner) missingInGroup(u *run, s *job.Sample) int {
	p := r.manager.partitions[u.partitionNumber]
	p.mu.Lock()
	defer p.mu.Unlock()
	missing := 0
	for i := range u.submission.Samples {
		if u.submission.Samples[i].Group == s.Group && u.job.Position(i) < 0 {
			missing++
		}
	}
	return missing
}

func (r *runner) scoreLimit(route rollout.Route) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responseTimes(route).Limit()
}

func (r *runner) observeScoreTime(route rollout.Route, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseTimes(route).Observe(took)
}

// responseTimes returns the response times of a scorer's route. The caller must hold
// r.mu.
func (r *runner) responseTimes(route rollout.Route) *scoring.ResponseTimes {
	t := r.scoreTimes[route.Name]
	if t == nil {
		t = &scoring.ResponseTimes{}
		r.scoreTimes[route.Name] = t
	}
	return t
}
