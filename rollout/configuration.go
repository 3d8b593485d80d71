package rollout

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// SchemaVersion is the configuration schema version that this build supports.
const SchemaVersion = 1

// Objective selects what sample scheduling optimizes for a trainer.
type Objective string

// Objectives that a trainer may declare.
const (
	// ObjectiveIdleTime minimizes the time that the trainer waits for samples,
	// within its staleness bound.
	ObjectiveIdleTime Objective = "IdleTime"
	// ObjectiveStaleness prefers samples of the newest weights, even if the
	// pipeline is not kept full.
	ObjectiveStaleness Objective = "Staleness"
)

// Configuration is the configuration that operators declare. A published
// Configuration is immutable.
type Configuration struct {
	Schema   int       `yaml:"Schema"`
	Name     string    `yaml:"Name"`
	Zones    []Zone    `yaml:"Zones"`
	Pools    []Pool    `yaml:"Pools"`
	Services []Service `yaml:"Services"`
	Trainers []Trainer `yaml:"Trainers"`
	Callers  []Caller  `yaml:"Callers"`
}

// Pool is a set of model engines that serve the same models.
type Pool struct {
	Name    PoolName    `yaml:"Name"`
	Models  []ModelName `yaml:"Models"`
	Servers []Server    `yaml:"Servers"`
	// MaxConcurrency is the maximum number of requests that one VM keeps in
	// flight on one engine.
	MaxConcurrency int `yaml:"MaxConcurrency"`
	// InteractiveReserve is the part of MaxConcurrency that rollouts may not use.
	InteractiveReserve int `yaml:"InteractiveReserve"`
}

// Server is one backend server.
type Server struct {
	Name ServerName `yaml:"Name"`
	Zone Zone       `yaml:"Zone"`
	// Address is an IP address and a port.
	Address string `yaml:"Address"`
	// ChecksFence reports whether the engine rejects orders with an outdated
	// fencing token.
	ChecksFence bool `yaml:"ChecksFence,omitempty"`
	// Leaving reports whether the server is draining and must get no new requests.
	Leaving bool `yaml:"Leaving,omitempty"`
	// Software is the version of the server's software. Only servers of one version can
	// continue each other's streams.
	Software SoftwareVersion `yaml:"Software,omitempty"`
	// Incarnation is when the server started, in Unix milliseconds by its own clock, or 0
	// if it isn't known. It can't be declared.
	Incarnation int64 `yaml:"-"`
	// MaxConcurrency is the maximum number of requests that one VM keeps in flight at the
	// server; 0 means that of its pool or service. It can't be declared.
	MaxConcurrency int `yaml:"-"`
}

// Service is a plain service, one that does not run models.
type Service struct {
	Name    ServiceName `yaml:"Name"`
	Servers []Server    `yaml:"Servers"`
	// Idempotent reports whether calls may be retried unless the caller says
	// otherwise.
	Idempotent bool `yaml:"Idempotent"`
	// MaxConcurrency is the maximum number of calls that one VM keeps in flight
	// on one server.
	MaxConcurrency int `yaml:"MaxConcurrency"`
	// Timeout limits the duration of one call.
	Timeout time.Duration `yaml:"Timeout"`
}

// Trainer draws samples of one model from one pool.
type Trainer struct {
	Name  TrainerName `yaml:"Name"`
	Pool  PoolName    `yaml:"Pool"`
	Model ModelName   `yaml:"Model"`
	// Zone is where the trainer runs. VMs of this zone hold its steps.
	Zone Zone `yaml:"Zone"`
	// Share is the trainer's fair-queueing weight among the users of its pool.
	Share int `yaml:"Share"`
	// MaxVersionsBehind is the staleness bound: how many weight versions a
	// delivered sample may lag behind the trainer.
	MaxVersionsBehind uint64    `yaml:"MaxVersionsBehind"`
	Objective         Objective `yaml:"Objective"`
	// StepDeadline limits the duration of a step.
	StepDeadline time.Duration `yaml:"StepDeadline"`
	// TokenHash is the hexadecimal SHA-256 of the trainer's bearer token.
	TokenHash string `yaml:"TokenHash"`
}

// Caller is a client that may query the listed pools and services.
type Caller struct {
	Name     CallerName    `yaml:"Name"`
	Share    int           `yaml:"Share"`
	Pools    []PoolName    `yaml:"Pools,omitempty"`
	Services []ServiceName `yaml:"Services,omitempty"`
	// TokenHash is the hexadecimal SHA-256 of the caller's bearer token.
	TokenHash string `yaml:"TokenHash"`
}

// FindPool returns the pool with the given name and whether it is declared.
func (c *Configuration) FindPool(name PoolName) (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.Name == name })
}

// FindService returns the service with the given name and whether it is declared.
func (c *Configuration) FindService(name ServiceName) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// FindTrainer returns the trainer with the given name and whether it is declared.
func (c *Configuration) FindTrainer(name TrainerName) (Trainer, bool) {
	return find(c.Trainers, func(t Trainer) bool { return t.Name == name })
}

// PoolOfModel returns the pool that serves the model, if any.
func (c *Configuration) PoolOfModel(model ModelName) (Pool, bool) {
	for _, p := range c.Pools {
		for _, m := range p.Models {
			if m == model {
				return p, true
			}
		}
	}
	return Pool{}, false
}

// TrainerByToken returns the trainer whose token has the given hash, if any.
func (c *Configuration) TrainerByToken(hash string) (Trainer, bool) {
	return find(c.Trainers, func(t Trainer) bool { return t.TokenHash == hash })
}

// CallerByToken returns the caller whose token has the given hash, if any.
func (c *Configuration) CallerByToken(hash string) (Caller, bool) {
	return find(c.Callers, func(caller Caller) bool { return caller.TokenHash == hash })
}

func find[T any](list []T, matches func(T) bool) (T, bool) {
	for _, e := range list {
		if matches(e) {
			return e, true
		}
	}
	var zero T
	return zero, false
}

// Check validates the configuration. The error joins all violations, each
// prefixed with the path of the invalid field.
func (c *Configuration) Check() error {
	k := checker{zones: toSet(c.Zones), serverPaths: map[ServerName]string{}}
	if c.Schema != SchemaVersion {
		k.errorf("Schema", "got %d, expected %d", c.Schema, SchemaVersion)
	}
	k.checkName("Name", c.Name)
	k.checkZones(c.Zones)
	models := k.checkPools(c.Pools)
	services := k.checkServices(c.Services)
	k.checkTrainers(c.Trainers, models)
	k.checkCallers(c.Callers, models, services)
	return errors.Join(k.errs...)
}

// Upper bounds of the numeric fields of a configuration.
const (
	maxConcurrency    = 4096
	maxShare          = 1000
	maxVersionsBehind = 1000
	maxTimeout        = time.Hour
	maxStepDeadline   = 24 * time.Hour
	tokenHashLength   = 64
)

// checker collects the violations found by Configuration.Check.
type checker struct {
	errs        []error
	zones       map[Zone]bool
	serverPaths map[ServerName]string
}

func (k *checker) errorf(path, format string, arguments ...any) {
	k.errs = append(k.errs, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, arguments...)))
}

func (k *checker) checkName(path, name string) {
	if err := CheckName(path, name); err != nil {
		k.errs = append(k.errs, err)
	}
}

func (k *checker) checkRange(path string, got, low, high int) {
	if got < low || got > high {
		k.errorf(path, "got %d, expected %d to %d", got, low, high)
	}
}

func (k *checker) checkDuration(path string, got, high time.Duration) {
	if got <= 0 || got > high {
		k.errorf(path, "got %s, expected more than 0s and at most %s", got, high)
	}
}

func (k *checker) checkUnique(path, name string, seen map[string]bool) {
	if seen[name] {
		k.errorf(path, "%q is declared twice", name)
	}
	seen[name] = true
}

func (k *checker) checkTokenHash(path, hash string, seen map[string]bool) {
	if len(hash) != tokenHashLength || !isLowerHex(hash) {
		k.errorf(path, "expected %d lower-case hexadecimal digits", tokenHashLength)
		return
	}
	k.checkUnique(path, hash, seen)
}

func isLowerHex(text string) bool {
	for _, r := range text {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

func (k *checker) checkZones(zones []Zone) {
	seen := map[string]bool{}
	if len(zones) == 0 {
		k.errorf("Zones", "expected at least one")
	}
	for i, z := range zones {
		path := fmt.Sprintf("Zones[%d]", i)
		k.checkName(path, string(z))
		k.checkUnique(path, string(z), seen)
	}
}

func (k *checker) checkServers(path string, servers []Server) {
	for i, s := range servers {
		serverPath := fmt.Sprintf("%s.Servers[%d]", path, i)
		k.checkName(serverPath+".Name", string(s.Name))
		if other, duplicate := k.serverPaths[s.Name]; duplicate {
			k.errorf(serverPath+".Name", "%q is declared in %s too", s.Name, other)
		}
		k.serverPaths[s.Name] = serverPath
		if !k.zones[s.Zone] {
			k.errorf(serverPath+".Zone", "%q is not in Zones", s.Zone)
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			k.errorf(serverPath+".Address", "got %q, expected IP number and port", s.Address)
		}
	}
}

func (k *checker) checkPools(pools []Pool) map[ModelName]PoolName {
	seen := map[string]bool{}
	models := map[ModelName]PoolName{}
	for i, p := range pools {
		path := fmt.Sprintf("Pools[%d]", i)
		k.checkName(path+".Name", string(p.Name))
		k.checkUnique(path+".Name", string(p.Name), seen)
		k.checkRange(path+".MaxConcurrency", p.MaxConcurrency, 1, maxConcurrency)
		k.checkRange(path+".InteractiveReserve", p.InteractiveReserve, 0, p.MaxConcurrency-1)
		k.checkServers(path, p.Servers)
		if len(p.Models) == 0 {
			k.errorf(path+".Models", "expected at least one")
		}
		for j, m := range p.Models {
			modelPath := fmt.Sprintf("%s.Models[%d]", path, j)
			k.checkName(modelPath, string(m))
			if other, duplicate := models[m]; duplicate {
				k.errorf(modelPath, "%q is served by pool %q too", m, other)
			}
			models[m] = p.Name
		}
	}
	return models
}

func (k *checker) checkServices(services []Service) map[ServiceName]bool {
	seen := map[string]bool{}
	known := map[ServiceName]bool{}
	for i, s := range services {
		path := fmt.Sprintf("Services[%d]", i)
		k.checkName(path+".Name", string(s.Name))
		k.checkUnique(path+".Name", string(s.Name), seen)
		k.checkRange(path+".MaxConcurrency", s.MaxConcurrency, 1, maxConcurrency)
		k.checkDuration(path+".Timeout", s.Timeout, maxTimeout)
		k.checkServers(path, s.Servers)
		known[s.Name] = true
	}
	return known
}

func (k *checker) checkTrainers(trainers []Trainer, models map[ModelName]PoolName) {
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, t := range trainers {
		path := fmt.Sprintf("Trainers[%d]", i)
		k.checkName(path+".Name", string(t.Name))
		k.checkUnique(path+".Name", string(t.Name), names)
		if models[t.Model] != t.Pool || t.Pool == "" {
			k.errorf(path+".Model", "pool %q does not serve model %q", t.Pool, t.Model)
		}
		if !k.zones[t.Zone] {
			k.errorf(path+".Zone", "%q is not in Zones", t.Zone)
		}
		k.checkRange(path+".Share", t.Share, 1, maxShare)
		if t.MaxVersionsBehind > maxVersionsBehind {
			k.errorf(path+".MaxVersionsBehind", "got %d, expected at most %d", t.MaxVersionsBehind, maxVersionsBehind)
		}
		if t.Objective != ObjectiveIdleTime && t.Objective != ObjectiveStaleness {
			k.errorf(path+".Objective", "got %q, expected %s or %s", t.Objective, ObjectiveIdleTime, ObjectiveStaleness)
		}
		k.checkDuration(path+".StepDeadline", t.StepDeadline, maxStepDeadline)
		k.checkTokenHash(path+".TokenHash", t.TokenHash, hashes)
	}
}

func (k *checker) checkCallers(callers []Caller, models map[ModelName]PoolName, services map[ServiceName]bool) {
	names, hashes, pools := map[string]bool{}, map[string]bool{}, map[PoolName]bool{}
	for _, p := range models {
		pools[p] = true
	}
	for i, c := range callers {
		path := fmt.Sprintf("Callers[%d]", i)
		k.checkName(path+".Name", string(c.Name))
		k.checkUnique(path+".Name", string(c.Name), names)
		k.checkRange(path+".Share", c.Share, 1, maxShare)
		for j, p := range c.Pools {
			if !pools[p] {
				k.errorf(fmt.Sprintf("%s.Pools[%d]", path, j), "%q is not declared", p)
			}
		}
		for j, s := range c.Services {
			if !services[s] {
				k.errorf(fmt.Sprintf("%s.Services[%d]", path, j), "%q is not declared", s)
			}
		}
		k.checkTokenHash(path+".TokenHash", c.TokenHash, hashes)
	}
}

func toSet[T comparable](list []T) map[T]bool {
	m := make(map[T]bool, len(list))
	for _, e := range list {
		m[e] = true
	}
	return m
}
