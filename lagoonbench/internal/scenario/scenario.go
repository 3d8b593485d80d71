// Package scenario holds what a run does: which load, and which faults when.
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

// Options are what a user chooses for a run.
type Options struct {
	Programs string
	Seed     uint64
	// Variant names a baseline; empty runs the product as it is.
	Variant string
}

// Scenario is one kind of run.
type Scenario struct {
	Name        string
	Description string
	// Deployment names the program that prints the configuration.
	Deployment string
	VMs        int
	Load       Load
	// Shape changes the environment before it starts.
	Shape func(*environment.Config)
	// Events run beside the load; the run ends when the trainers are done and
	// the events have returned.
	Events func(ctx context.Context, r *Run) error
}

// Load is what callers and trainers do.
type Load struct {
	// Trainers is how many of the declared trainers run.
	Trainers    int
	Steps       int
	Groups      int
	Samples     int
	MaxTokens   int
	PromptBytes int
	Train       time.Duration
	// PublishEvery is after how many steps a trainer publishes weights.
	PublishEvery int
	// InteractiveRate and ServiceRate are requests a second.
	InteractiveRate float64
	InteractiveMax  int
	ServiceRate     float64
	// CallerTimeout bounds a caller's request.
	CallerTimeout time.Duration
	// Least is the shortest time that callers run.
	Least time.Duration
}

// DefaultLoad is a small load that touches everything.
func DefaultLoad() Load {
	return Load{
		Trainers: 2, Steps: 3, Groups: 8, Samples: 8, MaxTokens: 1024, PromptBytes: 400, Train: 1500 * time.Millisecond, PublishEvery: 1,
		InteractiveRate: 10, InteractiveMax: 60, ServiceRate: 20, CallerTimeout: 20 * time.Second,
	}
}

// variants are the settings of the baselines.
var variants = map[string][]string{
	"":                  nil,
	"round-robin":       {"Bench.Placement=round-robin", "Bench.NoTwins=true"},
	"least-outstanding": {"Bench.Placement=least-outstanding", "Bench.NoTwins=true"},
	"no-twins":          {"Bench.NoTwins=true"},
}

// Variants returns the names of the baselines.
func Variants() []string { return []string{"round-robin", "least-outstanding", "no-twins"} }

// Run is a running scenario.
type Run struct {
	Scenario    Scenario
	Options     Options
	Environment *environment.Environment
	Collector   *report.Collector
}

// maxRun bounds a run.
const maxRun = 5 * time.Minute

// Execute runs a scenario and returns its report.
func Execute(ctx context.Context, s Scenario, o Options) (report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	sets, known := variants[o.Variant]
	if !known {
		return report.Report{}, fmt.Errorf("variant: got %q, expected one of %v", o.Variant, Variants())
	}
	r := &Run{Scenario: s, Options: o, Collector: report.NewCollector(s.Name, o.Seed)}
	c := environment.Config{
		Programs: o.Programs, Deployment: s.Deployment, VMs: s.VMs, Sets: sets, Seed: o.Seed, Engine: environment.DefaultEngine(),
		Work: 5 * time.Millisecond, ListLag: 2 * time.Second, Collector: r.Collector,
	}
	if s.Shape != nil {
		s.Shape(&c)
	}
	var err error
	if r.Environment, err = environment.Start(ctx, c); err != nil {
		return report.Report{}, err
	}
	r.Collector.Note("%d entry VMs serve; version 1 is in force", len(r.Environment.VMs))
	err = r.load(ctx)
	err = errors.Join(err, r.Environment.Stop())
	r.Collector.Change(func(p *report.Report) {
		p.Variant = o.Variant
		r.countEngines(p)
	})
	return r.Collector.Finish(), err
}

// load runs trainers, callers and events, and judges at the end.
func (r *Run) load(ctx context.Context) error {
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callerDone []chan struct{}
	begin := func(run func(context.Context)) {
		done := make(chan struct{})
		callerDone = append(callerDone, done)
		go func() {
			defer close(done)
			run(callers)
		}()
	}
	services := r.startCallers(begin)
	errs := make(chan error, r.Scenario.Load.Trainers+1)
	started := time.Now()
	for i := range r.Scenario.Load.Trainers {
		go func() { errs <- r.trainer(i).Run(ctx) }()
	}
	go func() { errs <- r.events(ctx) }()
	var all []error
	for range r.Scenario.Load.Trainers + 1 {
		all = append(all, <-errs)
	}
	time.Sleep(r.Scenario.Load.Least - time.Since(started))
	stopCallers()
	for _, done := range callerDone {
		<-done
	}
	for _, s := range services {
		s.Judge(r.Environment.Ledger)
	}
	return errors.Join(all...)
}

func (r *Run) events(ctx context.Context) error {
	if r.Scenario.Events == nil {
		return nil
	}
	return r.Scenario.Events(ctx, r)
}

func (r *Run) trainer(i int) *trainer.Trainer {
	l, t, shape := r.Scenario.Load, r.Environment.Configuration.Trainers[i], r.Environment.Config.Engine
	return trainer.New(trainer.Config{
		Trainer: t, Token: declare.LoopbackToken(string(t.Name)), Entries: r.Environment.Entries, Store: r.Environment.Store,
		Steps: l.Steps, Groups: l.Groups, Samples: l.Samples, MaxTokens: l.MaxTokens, PromptBytes: l.PromptBytes, Train: l.Train,
		PublishEvery: l.PublishEvery, Collector: r.Collector,
		Rate: shape.Rate, Throughput: shape.Rate * shape.Knee * float64(len(r.Environment.Engines)),
		OnStep: func(step int) { r.Collector.Note("trainer %s has step %d whole", t.Name, step) },
	})
}

// startCallers starts the interactive and the service load of each caller.
func (r *Run) startCallers(begin func(func(context.Context))) []*caller.Caller {
	l := r.Scenario.Load
	var services []*caller.Caller
	for i, declared := range r.Environment.Configuration.Callers {
		config := caller.Config{
			Name: declared.Name, Token: declare.LoopbackToken(string(declared.Name)), Entries: r.Environment.Entries, Timeout: l.CallerTimeout,
			Collector: r.Collector, Killed: r.Environment.Killed,
		}
		if l.InteractiveRate > 0 {
			config.Rate, config.Seed = l.InteractiveRate, r.Options.Seed+uint64(100+i)
			c := caller.New(config)
			begin(func(ctx context.Context) { c.Loop(ctx, r.interactive(c, declared)) })
		}
		if l.ServiceRate > 0 {
			config.Rate, config.Seed = l.ServiceRate, r.Options.Seed+uint64(200+i)
			c := caller.New(config)
			services = append(services, c)
			begin(func(ctx context.Context) { c.Loop(ctx, r.service(c, declared)) })
		}
	}
	return services
}

func (r *Run) interactive(c *caller.Caller, declared rollout.Caller) func(context.Context, int) {
	pool := r.Environment.Configuration.Pools[0]
	return func(ctx context.Context, number int) {
		model := pool.Models[number%len(pool.Models)]
		c.Complete(ctx, model, fmt.Sprintf("question %d of %s", number, declared.Name), r.Scenario.Load.InteractiveMax)
	}
}

func (r *Run) service(c *caller.Caller, declared rollout.Caller) func(context.Context, int) {
	name := r.Environment.Configuration.Services[0].Name
	return func(ctx context.Context, number int) {
		key := fmt.Sprintf("call %d of %s", number, declared.Name)
		if number%2 == 0 {
			c.CallAgain(ctx, name, key)
			return
		}
		c.Call(ctx, name, key, map[string]string{"Lagoonlink-Idempotent": "false"})
	}
}

func (r *Run) countEngines(p *report.Report) {
	for _, e := range r.Environment.Engines {
		n := e.Counts()
		p.TokensGenerated += n.SampleTokens
		p.EngineCrashes += n.Crashes
	}
	p.LogAppends = r.Environment.Journal.Appends()
}

// DefaultPrograms is the folder that holds the running program.
func DefaultPrograms(executable string) string { return filepath.Dir(executable) }
