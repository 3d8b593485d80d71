// Package declare is a library with which operators declare a configuration in a
// small Go program: which trainers and callers use which pools and services, how
// old the weights of a sample may be, and which backend servers there are. The
// program prints the configuration as YAML.
//
// Values are immutable; every With method returns a changed copy. The output has the
// order of the declaration, so that diffs in version control stay small.
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

// Deployment declares a complete configuration.
type Deployment struct {
	configuration rollout.Configuration
}

// NewDeployment returns an empty deployment with the given name.
func NewDeployment(name string) Deployment {
	return Deployment{rollout.Configuration{Schema: rollout.SchemaVersion, Name: name}}
}

// WithZones returns a copy with additional availability zones.
func (d Deployment) WithZones(zones ...rollout.Zone) Deployment {
	d.configuration.Zones = appendCopy(d.configuration.Zones, zones...)
	return d
}

// WithPools returns a copy with additional pools of model engines.
func (d Deployment) WithPools(pools ...Pool) Deployment {
	for _, p := range pools {
		d.configuration.Pools = appendCopy(d.configuration.Pools, p.pool)
	}
	return d
}

// WithServices returns a copy with additional plain services.
func (d Deployment) WithServices(services ...Service) Deployment {
	for _, s := range services {
		d.configuration.Services = appendCopy(d.configuration.Services, s.service)
	}
	return d
}

// WithTrainers returns a copy with additional trainers.
func (d Deployment) WithTrainers(trainers ...Trainer) Deployment {
	for _, t := range trainers {
		d.configuration.Trainers = appendCopy(d.configuration.Trainers, t.trainer)
	}
	return d
}

// WithCallers returns a copy with additional callers.
func (d Deployment) WithCallers(callers ...Caller) Deployment {
	for _, c := range callers {
		d.configuration.Callers = appendCopy(d.configuration.Callers, c.caller)
	}
	return d
}

// appendCopy appends to a copy of list, so that no two values share a backing array.
func appendCopy[T any](list []T, more ...T) []T { return append(slices.Clone(list), more...) }

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

// Main is the main function of a program that declares a deployment. It prints the
// configuration as YAML, or prints an error and exits with code 1 if the deployment
// is invalid.
func (d Deployment) Main() {
	if err := d.Fprint(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// privatePrefix is the prefix of the addresses that OnLoopback moves to 127.0.0.0/8.
const privatePrefix = "10."

// OnLoopback returns a copy for a demonstration on one machine: its servers have
// addresses in 127.0.0.0/8 instead of 10.0.0.0/8, and its trainers and callers have
// the tokens of LoopbackToken.
func (d Deployment) OnLoopback(hash func(token string) string) Deployment {
	c := d.configuration
	c.Pools = slices.Clone(c.Pools)
	for i := range c.Pools {
		c.Pools[i].Servers = moveToLoopback(c.Pools[i].Servers)
	}
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].Servers = moveToLoopback(c.Services[i].Servers)
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

// LoopbackToken returns the token of a caller or trainer in a demonstration.
func LoopbackToken(name string) string { return "loopback-" + name }

func moveToLoopback(servers []rollout.Server) []rollout.Server {
	moved := slices.Clone(servers)
	for i := range moved {
		if rest, ok := strings.CutPrefix(moved[i].Address, privatePrefix); ok {
			moved[i].Address = "127." + rest
		}
	}
	return moved
}

// Pool declares a pool of model engines.
type Pool struct {
	pool rollout.Pool
}

// Defaults of pools and services.
const (
	defaultConcurrency = 64
	defaultReserve     = 4
	defaultTimeout     = 10 * time.Second
)

// NewPool returns a pool without models and engines.
func NewPool(name rollout.PoolName) Pool {
	return Pool{rollout.Pool{Name: name, MaxConcurrency: defaultConcurrency, InteractiveReserve: defaultReserve}}
}

// WithModels returns a copy that serves additional models.
func (p Pool) WithModels(models ...rollout.ModelName) Pool {
	p.pool.Models = appendCopy(p.pool.Models, models...)
	return p
}

// WithServers returns a copy with additional engines.
func (p Pool) WithServers(servers ...rollout.Server) Pool {
	p.pool.Servers = appendCopy(p.pool.Servers, servers...)
	return p
}

// WithConcurrency returns a copy for which one VM keeps at most limit requests in
// flight on one engine. Rollouts leave reserve of them free for callers.
func (p Pool) WithConcurrency(limit, reserve int) Pool {
	p.pool.MaxConcurrency, p.pool.InteractiveReserve = limit, reserve
	return p
}

// Service declares a plain service.
type Service struct {
	service rollout.Service
}

// NewService returns a service without servers, whose calls must not be repeated.
func NewService(name rollout.ServiceName) Service {
	return Service{rollout.Service{Name: name, MaxConcurrency: defaultConcurrency, Timeout: defaultTimeout}}
}

// WithServers returns a copy with additional servers.
func (s Service) WithServers(servers ...rollout.Server) Service {
	s.service.Servers = appendCopy(s.service.Servers, servers...)
	return s
}

// WithIdempotentCalls returns a copy whose calls may be repeated.
func (s Service) WithIdempotentCalls() Service {
	s.service.Idempotent = true
	return s
}

// WithTimeout returns a copy whose calls may take at most d.
func (s Service) WithTimeout(d time.Duration) Service {
	s.service.Timeout = d
	return s
}

// Trainer declares a trainer.
type Trainer struct {
	trainer rollout.Trainer
}

// NewTrainer returns a trainer that draws samples of a model from a pool.
func NewTrainer(name rollout.TrainerName, pool rollout.PoolName, model rollout.ModelName) Trainer {
	return Trainer{rollout.Trainer{
		Name: name, Pool: pool, Model: model, Share: 1, MaxVersionsBehind: 1,
		Objective: rollout.ObjectiveIdleTime, StepDeadline: 10 * time.Minute,
	}}
}

// WithZone returns a copy that runs in the given availability zone.
func (t Trainer) WithZone(z rollout.Zone) Trainer {
	t.trainer.Zone = z
	return t
}

// WithShare returns a copy with the given weight among the trainers of its pool.
func (t Trainer) WithShare(share int) Trainer {
	t.trainer.Share = share
	return t
}

// WithMaxVersionsBehind returns a copy whose samples may lag behind the trainer's
// weights by at most the given number of versions.
func (t Trainer) WithMaxVersionsBehind(versions uint64) Trainer {
	t.trainer.MaxVersionsBehind = versions
	return t
}

// WithObjective returns a copy that minimizes idle time or staleness first.
func (t Trainer) WithObjective(o rollout.Objective) Trainer {
	t.trainer.Objective = o
	return t
}

// WithStepDeadline returns a copy whose steps may take at most d.
func (t Trainer) WithStepDeadline(d time.Duration) Trainer {
	t.trainer.StepDeadline = d
	return t
}

// WithTokenHash returns a copy that authenticates with the token whose SHA-256 hash,
// in hexadecimal, is given.
func (t Trainer) WithTokenHash(hash string) Trainer {
	t.trainer.TokenHash = hash
	return t
}

// Caller declares a caller.
type Caller struct {
	caller rollout.Caller
}

// NewCaller returns a caller without access to any pool or service.
func NewCaller(name rollout.CallerName) Caller {
	return Caller{rollout.Caller{Name: name, Share: 1}}
}

// WithPools returns a copy that may query additional pools.
func (c Caller) WithPools(pools ...rollout.PoolName) Caller {
	c.caller.Pools = appendCopy(c.caller.Pools, pools...)
	return c
}

// WithServices returns a copy that may call additional services.
func (c Caller) WithServices(services ...rollout.ServiceName) Caller {
	c.caller.Services = appendCopy(c.caller.Services, services...)
	return c
}

// WithShare returns a copy with the given weight among the callers.
func (c Caller) WithShare(share int) Caller {
	c.caller.Share = share
	return c
}

// WithTokenHash returns a copy that authenticates with the token whose SHA-256 hash,
// in hexadecimal, is given.
func (c Caller) WithTokenHash(hash string) Caller {
	c.caller.TokenHash = hash
	return c
}

// Servers returns count servers of one zone with consecutive names and addresses:
// <name>-<first> at <network>.<firstHost>:<port>, the next one at the next IP
// address, and so on.
func Servers(name string, first, count int, zone rollout.Zone, network string, firstHost, port int) []rollout.Server {
	servers := make([]rollout.Server, 0, count)
	for i := range count {
		servers = append(servers, rollout.Server{
			Name:    rollout.ServerName(fmt.Sprintf("%s-%d", name, first+i)),
			Zone:    zone,
			Address: fmt.Sprintf("%s.%d:%d", network, firstHost+i, port),
		})
	}
	return servers
}

// Fenced returns copies of engines, marked as checking fencing tokens.
func Fenced(servers []rollout.Server) []rollout.Server {
	fenced := slices.Clone(servers)
	for i := range fenced {
		fenced[i].ChecksFence = true
	}
	return fenced
}
