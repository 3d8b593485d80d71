// Package declare is the operators' library: a small program built on it
// declares who draws samples from whom, how fresh, and which backend servers may
// serve, and prints the configuration as YAML. Values are immutable; every With
// method returns a changed copy. The order of the output is that of the
// declaration, so that a change reviews well in version control.
package declare

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
)

// Deployment is the whole of a configuration.
type Deployment struct {
	configuration rollout.Configuration
}

// NewDeployment returns an empty deployment with a name.
func NewDeployment(name string) Deployment {
	return Deployment{rollout.Configuration{Schema: rollout.SchemaVersion, Name: name}}
}

// WithZones returns a copy with further availability zones.
func (d Deployment) WithZones(zones ...rollout.Zone) Deployment {
	d.configuration.Zones = with(d.configuration.Zones, zones...)
	return d
}

// WithPools returns a copy with further pools of model engines.
func (d Deployment) WithPools(pools ...Pool) Deployment {
	for _, p := range pools {
		d.configuration.Pools = with(d.configuration.Pools, p.pool)
	}
	return d
}

// WithServices returns a copy with further plain services.
func (d Deployment) WithServices(services ...Service) Deployment {
	for _, s := range services {
		d.configuration.Services = with(d.configuration.Services, s.service)
	}
	return d
}

// WithTrainers returns a copy with further trainers.
func (d Deployment) WithTrainers(trainers ...Trainer) Deployment {
	for _, t := range trainers {
		d.configuration.Trainers = with(d.configuration.Trainers, t.trainer)
	}
	return d
}

// WithCallers returns a copy with further callers.
func (d Deployment) WithCallers(callers ...Caller) Deployment {
	for _, c := range callers {
		d.configuration.Callers = with(d.configuration.Callers, c.caller)
	}
	return d
}

// with appends to a copy, so that no two values share a backing array.
func with[T any](list []T, more ...T) []T { return append(slices.Clone(list), more...) }

// Build checks the deployment and returns its configuration.
func (d Deployment) Build() (rollout.Configuration, error) {
	c := d.configuration
	if err := c.Check(); err != nil {
		return rollout.Configuration{}, fmt.Errorf("deployment %s: %w", c.Name, err)
	}
	return c, nil
}

// Fprint checks the deployment and writes its configuration as YAML.
func (d Deployment) Fprint(w io.Writer) error {
	c, err := d.Build()
	if err != nil {
		return err
	}
	document, err := configuration.Encode(c)
	if err != nil {
		return err
	}
	_, err = w.Write(document)
	return err
}

// Main is the body of a deployment's program: it prints the configuration, and
// ends the process with an error when the deployment is faulty.
func (d Deployment) Main() {
	if err := d.Fprint(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// loopbackPrefix is the private network that OnLoopback moves to 127.0.0.0/8.
const loopbackPrefix = "10."

// OnLoopback returns a copy whose servers have addresses in 127.0.0.0/8 instead
// of 10.0.0.0/8, and whose tokens are those of a demonstration on one machine.
func (d Deployment) OnLoopback(hash func(token string) string) Deployment {
	c := d.configuration
	c.Pools = slices.Clone(c.Pools)
	for i := range c.Pools {
		c.Pools[i].Servers = onLoopback(c.Pools[i].Servers)
	}
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].Servers = onLoopback(c.Services[i].Servers)
	}
	c.Trainers = slices.Clone(c.Trainers)
	for i := range c.Trainers {
		c.Trainers[i].TokenHash = hash(LoopbackToken(string(c.Trainers[i].Name)))
	}
	c.Callers = slices.Clone(c.Callers)
	for i := range c.Callers {
		c.Callers[i].TokenHash = hash(LoopbackToken(string(c.Callers[i].Name)))
	}
	return Deployment{c}
}

// LoopbackToken is the token that a caller or trainer has in a demonstration.
func LoopbackToken(name string) string { return "loopback-" + name }

func onLoopback(servers []rollout.Server) []rollout.Server {
	moved := slices.Clone(servers)
	for i := range moved {
		if rest, ok := strings.CutPrefix(moved[i].Address, loopbackPrefix); ok {
			moved[i].Address = "127." + rest
		}
	}
	return moved
}

// Pool declares a pool of model engines.
type Pool struct {
	pool rollout.Pool
}

// Defaults of a pool and a service.
const (
	defaultConcurrency = 64
	defaultReserve     = 4
	defaultTimeout     = 10 * time.Second
)

// NewPool returns a pool without engines.
func NewPool(name rollout.PoolName) Pool {
	return Pool{rollout.Pool{Name: name, MaxConcurrency: defaultConcurrency, InteractiveReserve: defaultReserve}}
}

// WithModels returns a copy that serves further models.
func (p Pool) WithModels(models ...rollout.ModelName) Pool {
	p.pool.Models = with(p.pool.Models, models...)
	return p
}

// WithServers returns a copy with further engines.
func (p Pool) WithServers(servers ...rollout.Server) Pool {
	p.pool.Servers = with(p.pool.Servers, servers...)
	return p
}

// WithConcurrency returns a copy with a bound for each engine, of which rollouts
// leave a reserve for callers.
func (p Pool) WithConcurrency(most, reserve int) Pool {
	p.pool.MaxConcurrency, p.pool.InteractiveReserve = most, reserve
	return p
}

// Service declares a plain service.
type Service struct {
	service rollout.Service
}

// NewService returns a service whose calls may not be repeated.
func NewService(name rollout.ServiceName) Service {
	return Service{rollout.Service{Name: name, MaxConcurrency: defaultConcurrency, Timeout: defaultTimeout}}
}

// WithServers returns a copy with further servers.
func (s Service) WithServers(servers ...rollout.Server) Service {
	s.service.Servers = with(s.service.Servers, servers...)
	return s
}

// WithIdempotentCalls returns a copy whose calls may be repeated.
func (s Service) WithIdempotentCalls() Service {
	s.service.Idempotent = true
	return s
}

// WithTimeout returns a copy whose calls are bounded.
func (s Service) WithTimeout(d time.Duration) Service {
	s.service.Timeout = d
	return s
}

// Trainer declares a trainer.
type Trainer struct {
	trainer rollout.Trainer
}

// NewTrainer returns a trainer that draws a model's samples from a pool.
func NewTrainer(name rollout.TrainerName, pool rollout.PoolName, model rollout.ModelName) Trainer {
	return Trainer{rollout.Trainer{
		Name: name, Pool: pool, Model: model, Share: 1, MaxVersionsBehind: 1,
		Objective: rollout.ObjectiveIdleTime, StepDeadline: 10 * time.Minute,
	}}
}

// WithZone returns a copy that runs in a zone.
func (t Trainer) WithZone(z rollout.Zone) Trainer {
	t.trainer.Zone = z
	return t
}

// WithShare returns a copy with a weight among the trainers of its pool.
func (t Trainer) WithShare(share int) Trainer {
	t.trainer.Share = share
	return t
}

// WithBound returns a copy whose samples are at most so many versions behind.
func (t Trainer) WithBound(versions uint64) Trainer {
	t.trainer.MaxVersionsBehind = versions
	return t
}

// WithObjective returns a copy that weighs idle time or staleness most.
func (t Trainer) WithObjective(o rollout.Objective) Trainer {
	t.trainer.Objective = o
	return t
}

// WithStepDeadline returns a copy whose steps are bounded in time.
func (t Trainer) WithStepDeadline(d time.Duration) Trainer {
	t.trainer.StepDeadline = d
	return t
}

// WithTokenHash returns a copy known by a token with a SHA-256 in hexadecimal.
func (t Trainer) WithTokenHash(hash string) Trainer {
	t.trainer.TokenHash = hash
	return t
}

// Caller declares a caller.
type Caller struct {
	caller rollout.Caller
}

// NewCaller returns a caller that may use nothing yet.
func NewCaller(name rollout.CallerName) Caller {
	return Caller{rollout.Caller{Name: name, Share: 1}}
}

// WithPools returns a copy that may query further pools.
func (c Caller) WithPools(pools ...rollout.PoolName) Caller {
	c.caller.Pools = with(c.caller.Pools, pools...)
	return c
}

// WithServices returns a copy that may call further services.
func (c Caller) WithServices(services ...rollout.ServiceName) Caller {
	c.caller.Services = with(c.caller.Services, services...)
	return c
}

// WithShare returns a copy with a weight among callers.
func (c Caller) WithShare(share int) Caller {
	c.caller.Share = share
	return c
}

// WithTokenHash returns a copy known by a token with a SHA-256 in hexadecimal.
func (c Caller) WithTokenHash(hash string) Caller {
	c.caller.TokenHash = hash
	return c
}

// Servers returns numbered servers of one zone: name-1 at the first address,
// name-2 at the next IP number, and so on.
func Servers(name string, from, count int, zone rollout.Zone, network string, firstHost, port int) []rollout.Server {
	servers := make([]rollout.Server, 0, count)
	for i := range count {
		servers = append(servers, rollout.Server{
			Name:    rollout.ServerName(fmt.Sprintf("%s-%d", name, from+i)),
			Zone:    zone,
			Address: fmt.Sprintf("%s.%d:%d", network, firstHost+i, port),
		})
	}
	return servers
}

// Fenced returns copies of engines that check fencing numbers.
func Fenced(servers []rollout.Server) []rollout.Server {
	fenced := slices.Clone(servers)
	for i := range fenced {
		fenced[i].ChecksFence = true
	}
	return fenced
}
