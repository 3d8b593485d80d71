package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"lagoonlink.org/lagoonbench/internal/environment"
)

// All returns all scenarios in the order in which they are listed.
func All() []Scenario {
	return append([]Scenario{demoScenario(), dayScenario("tsehay"), dayScenario("arjcb")}, faultScenarios()...)
}

// Find returns the scenario with the given name, or an error if there is none.
func Find(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q; see --list", name)
}

// demoScenario is a short run that covers the main features: three zones, two
// trainers, a service, weight updates and a configuration change.
func demoScenario() Scenario {
	return Scenario{
		Name:        "demo",
		Description: "3 entry VMs in 3 zones, 2 trainers, callers, weight updates and a configuration change",
		Deployment:  "tsehay",
		VMs:         3,
		Load:        DefaultLoad(),
		Events:      changeConfiguration,
	}
}

// dayScenario runs a deployment at its current size: long-tailed sample lengths,
// new weights after every step, callers alongside the trainers, and two engine
// crashes.
func dayScenario(deployment string) Scenario {
	l := DefaultLoad()
	l.Trainers, l.Steps, l.Groups, l.Samples, l.MaxTokens, l.TrainingTime = 3, 6, 16, 8, 2048, 2*time.Second
	if deployment == "arjcb" {
		l.Trainers = 2
	}
	return Scenario{
		Name:                 deployment + "-day",
		Description:          "15 entry VMs, 12 engines, trainers with long-tailed samples, callers, 2 engine crashes",
		Deployment:           deployment,
		VMs:                  15,
		Load:                 l,
		ConfigureEnvironment: func(c *environment.Config) { c.Engine.LengthSigma = 1 },
		Events:               crashTwoEngines,
	}
}

// crashTwoEngines crashes two engines of the first pool, 4 s apart.
func crashTwoEngines(ctx context.Context, r *Run) error {
	servers := r.Environment.Configuration.Pools[0].Servers
	for _, i := range []int{1, 6} {
		sleep(ctx, 4*time.Second)
		r.Collector.Note("crash engine %s", servers[i].Name)
		r.Environment.Engines[servers[i].Name].Crash()
	}
	return nil
}

const configurationChangeDelay = 2 * time.Second

// changeConfiguration publishes a lower MaxConcurrency while the load runs, and
// waits until every running entry VM has adopted it as version 2.
func changeConfiguration(ctx context.Context, r *Run) error {
	time.Sleep(configurationChangeDelay)
	changed := strings.Replace(string(r.Environment.Document), "MaxConcurrency: 32", "MaxConcurrency: 24", 1)
	start := time.Now()
	if out, err := r.Environment.Publish([]byte(changed)); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	if err := r.Environment.AwaitVersion(ctx, 2); err != nil {
		return err
	}
	r.Collector.Note("version 2 in force on all entry VMs after %.0f ms", time.Since(start).Seconds()*1000)
	return nil
}
