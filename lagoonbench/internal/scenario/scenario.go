// Package scenario defines the benchmark scenarios, each a load and a schedule
// of faults, and executes them.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"lagoonlink.org/declare"
	"lagoonlink.org/lagoonbench/internal/environment"
	"lagoonlink.org/lagoonbench/internal/report"
	"lagoonlink.org/lagoonbench/internal/standin/caller"
	"lagoonlink.org/lagoonbench/internal/standin/trainer"
	"lagoonlink.org/rollout"
)

// Options are the settings of a run that the user chooses.
type Options struct {
	// Programs is the directory of the compiled programs.
	Programs string
	Seed     uint64
	// Variant names a baseline to run instead of the default configuration; see
	// Variants. It may be empty.
	Variant string
}

// Scenario describes a run.
type Scenario struct {
	Name        string
	Description string
	// Deployment names the program that prints the declared configuration.
	Deployment string
	// VMs is the number of entry VMs.
	VMs  int
	Load Load
	// ConfigureEnvironment, if not nil, adjusts the environment before it starts.
	ConfigureEnvironment func(*environment.Config)
	// Events, if not nil, runs concurrently with the load and injects faults or
	// changes. The run ends when the trainers have finished and Events has
	// returned, but not before Load.MinDuration.
	Events func(ctx context.Context, r *Run) error
}

// Load describes the work of trainers and callers.
type Load struct {
	// Trainers is the number of declared trainers that run.
	Trainers int
	// Steps is the number of steps of each trainer, Groups the number of groups in
	// a step and Samples the number of samples in a group.
	Steps   int
	Groups  int
	Samples int
	// MaxTokens limits the length of a sample.
	MaxTokens int
	// PromptBytes is the minimum length of a prompt, to which it is padded.
	PromptBytes int
	// TrainingTime is the time that a trainer takes to train on a step.
	TrainingTime time.Duration
	// PublishEvery is the number of steps between two weight publications of a
	// trainer.
	PublishEvery int
	// InteractiveRate and ServiceRate are in requests per second for each caller;
	// 0 disables that load.
	InteractiveRate float64
	// InteractiveMaxTokens limits the length of a completion.
	InteractiveMaxTokens int
	ServiceRate          float64
	// CallerTimeout limits the duration of a request of a caller.
	CallerTimeout time.Duration
	// MinDuration is the minimum time for which callers run.
	MinDuration time.Duration
}

// DefaultLoad returns a small load that includes trainers, interactive requests
// and service calls.
func DefaultLoad() Load {
	return Load{
		Trainers: 2, Steps: 3, Groups: 8, Samples: 8, MaxTokens: 1024, PromptBytes: 400, TrainingTime: 1500 * time.Millisecond, PublishEvery: 1,
		InteractiveRate: 10, InteractiveMaxTokens: 60, ServiceRate: 20, CallerTimeout: 20 * time.Second,
	}
}

// variantSettings holds the settings of the entry VMs by variant.
var variantSettings = map[string][]string{
	"":                  nil,
	"round-robin":       {"Bench.Placement=round-robin", "Bench.NoTwins=true"},
	"least-outstanding": {"Bench.Placement=least-outstanding", "Bench.NoTwins=true"},
	"no-twins":          {"Bench.NoTwins=true"},
}

// Variants returns the names of the baseline variants.
func Variants() []string { return []string{"round-robin", "least-outstanding", "no-twins"} }

// Run is a running scenario.
type Run struct {
	Scenario    Scenario
	Options     Options
	Environment *environment.Environment
	Collector   *report.Collector
}

const runTimeout = 5 * time.Minute

// Execute runs a scenario and returns its report. The error reports failures of
// the run itself, such as an entry VM that exited unexpectedly; broken promises
// are counted in the report.
func Execute(ctx context.Context, s Scenario, o Options) (report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	settings, known := variantSettings[o.Variant]
	if !known {
		return report.Report{}, fmt.Errorf("unknown variant %q, expected one of %v", o.Variant, Variants())
	}
	r := &Run{Scenario: s, Options: o, Collector: report.NewCollector(s.Name, o.Seed)}
	c := environment.Config{
		Programs: o.Programs, Deployment: s.Deployment, VMs: s.VMs, ExtraSettings: settings, Seed: o.Seed, Engine: environment.DefaultEngine(),
		ProcessingTime: 5 * time.Millisecond, ListLag: 2 * time.Second, Collector: r.Collector,
	}
	if s.ConfigureEnvironment != nil {
		s.ConfigureEnvironment(&c)
	}
	var err error
	if r.Environment, err = environment.Start(ctx, c); err != nil {
		return report.Report{}, err
	}
	r.Collector.Note("%d entry VMs are running; version 1 is in force", len(r.Environment.VMs))
	err = r.runLoad(ctx)
	err = errors.Join(err, r.Environment.Stop())
	r.Collector.Update(func(p *report.Report) {
		p.Variant = o.Variant
		r.collectServerCounts(p)
	})
	return r.Collector.Finish(), err
}

// runLoad runs trainers, callers and events. At the end it checks the outcomes
// that callers of services saw against the ledger of executed calls.
func (r *Run) runLoad(ctx context.Context) error {
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callersDone []chan struct{}
	startLoop := func(run func(context.Context)) {
		done := make(chan struct{})
		callersDone = append(callersDone, done)
		go func() {
			defer close(done)
			run(callerCtx)
		}()
	}
	serviceCallers := r.startCallers(startLoop)
	errs := make(chan error, r.Scenario.Load.Trainers+1)
	started := time.Now()
	for i := range r.Scenario.Load.Trainers {
		go func() { errs <- r.newTrainer(i).Run(ctx) }()
	}
	go func() { errs <- r.runEvents(ctx) }()
	var failures []error
	for range r.Scenario.Load.Trainers + 1 {
		failures = append(failures, <-errs)
	}
	time.Sleep(r.Scenario.Load.MinDuration - time.Since(started))
	stopCallers()
	for _, done := range callersDone {
		<-done
	}
	for _, c := range serviceCallers {
		c.CheckVerdicts(r.Environment.Ledger)
	}
	return errors.Join(failures...)
}

func (r *Run) runEvents(ctx context.Context) error {
	if r.Scenario.Events == nil {
		return nil
	}
	return r.Scenario.Events(ctx, r)
}

func (r *Run) newTrainer(i int) *trainer.Trainer {
	l, t, e := r.Scenario.Load, r.Environment.Configuration.Trainers[i], r.Environment.Config.Engine
	return trainer.New(trainer.Config{
		Trainer: t, Token: declare.LoopbackToken(string(t.Name)), Entries: r.Environment.Entries, Store: r.Environment.Store,
		Steps: l.Steps, Groups: l.Groups, Samples: l.Samples, MaxTokens: l.MaxTokens, PromptBytes: l.PromptBytes, TrainingTime: l.TrainingTime,
		PublishEvery: l.PublishEvery, Collector: r.Collector,
		Rate: e.Rate, Throughput: e.Rate * e.Knee * float64(len(r.Environment.Engines)),
		OnStep: func(step int) { r.Collector.Note("trainer %s completed step %d", t.Name, step) },
	})
}

// startCallers returns the callers that generate the service load.
func (r *Run) startCallers(startLoop func(func(context.Context))) []*caller.Caller {
	l := r.Scenario.Load
	var serviceCallers []*caller.Caller
	for i, declared := range r.Environment.Configuration.Callers {
		config := caller.Config{
			Name: declared.Name, Token: declare.LoopbackToken(string(declared.Name)), Entries: r.Environment.Entries, Timeout: l.CallerTimeout,
			Collector: r.Collector, Killed: r.Environment.Killed,
		}
		if l.InteractiveRate > 0 {
			config.Rate, config.Seed = l.InteractiveRate, r.Options.Seed+uint64(100+i)
			c := caller.New(config)
			startLoop(func(ctx context.Context) { c.Loop(ctx, r.completionLoad(c, declared)) })
		}
		if l.ServiceRate > 0 {
			config.Rate, config.Seed = l.ServiceRate, r.Options.Seed+uint64(200+i)
			c := caller.New(config)
			serviceCallers = append(serviceCallers, c)
			startLoop(func(ctx context.Context) { c.Loop(ctx, r.serviceLoad(c, declared)) })
		}
	}
	return serviceCallers
}

func (r *Run) completionLoad(c *caller.Caller, declared rollout.Caller) func(context.Context, int) {
	pool := r.Environment.Configuration.Pools[0]
	return func(ctx context.Context, number int) {
		model := pool.Models[number%len(pool.Models)]
		c.Complete(ctx, model, fmt.Sprintf("question %d of %s", number, declared.Name), r.Scenario.Load.InteractiveMaxTokens)
	}
}

// serviceLoad alternates between retried calls with an identity and single calls
// marked as not idempotent.
func (r *Run) serviceLoad(c *caller.Caller, declared rollout.Caller) func(context.Context, int) {
	name := r.Environment.Configuration.Services[0].Name
	return func(ctx context.Context, number int) {
		key := fmt.Sprintf("call %d of %s", number, declared.Name)
		if number%2 == 0 {
			c.CallWithRetries(ctx, name, key)
			return
		}
		c.Call(ctx, name, key, map[string]string{"Lagoonlink-Idempotent": "false"})
	}
}

func (r *Run) collectServerCounts(p *report.Report) {
	for _, e := range r.Environment.Engines {
		n := e.Counts()
		p.TokensGenerated += n.SampleTokens
		p.EngineCrashes += n.Crashes
	}
	p.LogAppends = r.Environment.Journal.Appends()
}

// DefaultPrograms returns the directory of the given executable.
func DefaultPrograms(executable string) string { return filepath.Dir(executable) }
