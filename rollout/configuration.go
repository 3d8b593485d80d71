package rollout

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// SchemaVersion is the configuration schema that this program folds.
const SchemaVersion = 1

// Objective says what a trainer weighs most.
type Objective string

// The objectives that a trainer may declare.
const (
	// ObjectiveIdleTime keeps the trainer from waiting, up to the bound.
	ObjectiveIdleTime Objective = "IdleTime"
	// ObjectiveStaleness prefers the newest weights over a full pipeline.
	ObjectiveStaleness Objective = "Staleness"
)

// Configuration is what operators declare. Values are immutable once published.
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
	// MaxConcurrency is the most requests that one VM keeps open on one engine.
	MaxConcurrency int `yaml:"MaxConcurrency"`
	// InteractiveReserve is how many of those rollouts leave free.
	InteractiveReserve int `yaml:"InteractiveReserve"`
}

// Server is one backend server.
type Server struct {
	Name ServerName `yaml:"Name"`
	Zone Zone       `yaml:"Zone"`
	// Address is an IP number and a port.
	Address string `yaml:"Address"`
	// ChecksFence tells that the engine refuses orders with an old fencing number.
	ChecksFence bool `yaml:"ChecksFence,omitempty"`
	// Leaving tells that the server must get no new work.
	Leaving bool `yaml:"Leaving,omitempty"`
}

// Service is a plain service.
type Service struct {
	Name    ServiceName `yaml:"Name"`
	Servers []Server    `yaml:"Servers"`
	// Idempotent tells that calls may be repeated unless a caller says otherwise.
	Idempotent bool `yaml:"Idempotent"`
	// MaxConcurrency is the most calls that one VM keeps open on one server.
	MaxConcurrency int `yaml:"MaxConcurrency"`
	// Timeout bounds one call.
	Timeout time.Duration `yaml:"Timeout"`
}

// Trainer draws samples of one model from one pool.
type Trainer struct {
	Name  TrainerName `yaml:"Name"`
	Pool  PoolName    `yaml:"Pool"`
	Model ModelName   `yaml:"Model"`
	// Zone is where the trainer runs; its steps are held there.
	Zone Zone `yaml:"Zone"`
	// Share is the trainer's weight among those that use the same pool.
	Share int `yaml:"Share"`
	// MaxVersionsBehind is the staleness bound, in weight versions.
	MaxVersionsBehind uint64    `yaml:"MaxVersionsBehind"`
	Objective         Objective `yaml:"Objective"`
	// StepDeadline bounds how long a step may take.
	StepDeadline time.Duration `yaml:"StepDeadline"`
	// TokenHash is the hexadecimal SHA-256 of the trainer's bearer token.
	TokenHash string `yaml:"TokenHash"`
}

// Caller may query the named pools and services.
type Caller struct {
	Name     CallerName    `yaml:"Name"`
	Share    int           `yaml:"Share"`
	Pools    []PoolName    `yaml:"Pools,omitempty"`
	Services []ServiceName `yaml:"Services,omitempty"`
	// TokenHash is the hexadecimal SHA-256 of the caller's bearer token.
	TokenHash string `yaml:"TokenHash"`
}

// FindPool returns the pool with the given name.
func (c *Configuration) FindPool(name PoolName) (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.Name == name })
}

// FindService returns the service with the given name.
func (c *Configuration) FindService(name ServiceName) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// FindTrainer returns the trainer with the given name.
func (c *Configuration) FindTrainer(name TrainerName) (Trainer, bool) {
	return find(c.Trainers, func(t Trainer) bool { return t.Name == name })
}

// PoolOfModel returns the pool that serves the model.
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

// TrainerByToken returns the trainer whose token has the given hash.
func (c *Configuration) TrainerByToken(hash string) (Trainer, bool) {
	return find(c.Trainers, func(t Trainer) bool { return t.TokenHash == hash })
}

// CallerByToken returns the caller whose token has the given hash.
func (c *Configuration) CallerByToken(hash string) (Caller, bool) {
	return find(c.Callers, func(a Caller) bool { return a.TokenHash == hash })
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

// Check reports every fault of the configuration, one line each, by path.
func (c *Configuration) Check() error {
	k := checker{zones: set(c.Zones), servers: map[ServerName]string{}}
	if c.Schema != SchemaVersion {
		k.fault("Schema", "got %d, expected %d", c.Schema, SchemaVersion)
	}
	k.name("Name", c.Name)
	k.checkZones(c.Zones)
	models := k.checkPools(c.Pools)
	services := k.checkServices(c.Services)
	k.checkTrainers(c.Trainers, models)
	k.checkCallers(c.Callers, models, services)
	return errors.Join(k.faults...)
}

// Limits of a configuration's numbers.
const (
	maxConcurrency   = 4096
	maxShare         = 1000
	maxVersionsBound = 1000
	maxTimeout       = time.Hour
	maxStepDeadline  = 24 * time.Hour
	tokenHashLength  = 64
)

// checker collects faults and the names seen so far.
type checker struct {
	faults  []error
	zones   map[Zone]bool
	servers map[ServerName]string
}

func (k *checker) fault(path, format string, arguments ...any) {
	k.faults = append(k.faults, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, arguments...)))
}

func (k *checker) name(path, name string) {
	if err := CheckName(path, name); err != nil {
		k.faults = append(k.faults, err)
	}
}

func (k *checker) between(path string, got, low, high int) {
	if got < low || got > high {
		k.fault(path, "got %d, expected %d to %d", got, low, high)
	}
}

func (k *checker) duration(path string, got, high time.Duration) {
	if got <= 0 || got > high {
		k.fault(path, "got %s, expected more than 0s and at most %s", got, high)
	}
}

func (k *checker) unique(path, name string, seen map[string]bool) {
	if seen[name] {
		k.fault(path, "%q is declared twice", name)
	}
	seen[name] = true
}

func (k *checker) tokenHash(path, hash string, seen map[string]bool) {
	if len(hash) != tokenHashLength || !isLowerHex(hash) {
		k.fault(path, "expected %d lower-case hexadecimal digits", tokenHashLength)
		return
	}
	k.unique(path, hash, seen)
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
		k.fault("Zones", "expected at least one")
	}
	for i, z := range zones {
		path := fmt.Sprintf("Zones[%d]", i)
		k.name(path, string(z))
		k.unique(path, string(z), seen)
	}
}

func (k *checker) checkServers(path string, servers []Server) {
	for i, s := range servers {
		at := fmt.Sprintf("%s.Servers[%d]", path, i)
		k.name(at+".Name", string(s.Name))
		if other, twice := k.servers[s.Name]; twice {
			k.fault(at+".Name", "%q is declared in %s too", s.Name, other)
		}
		k.servers[s.Name] = at
		if !k.zones[s.Zone] {
			k.fault(at+".Zone", "%q is not in Zones", s.Zone)
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			k.fault(at+".Address", "got %q, expected IP number and port", s.Address)
		}
	}
}

func (k *checker) checkPools(pools []Pool) map[ModelName]PoolName {
	seen := map[string]bool{}
	models := map[ModelName]PoolName{}
	for i, p := range pools {
		path := fmt.Sprintf("Pools[%d]", i)
		k.name(path+".Name", string(p.Name))
		k.unique(path+".Name", string(p.Name), seen)
		k.between(path+".MaxConcurrency", p.MaxConcurrency, 1, maxConcurrency)
		k.between(path+".InteractiveReserve", p.InteractiveReserve, 0, p.MaxConcurrency-1)
		k.checkServers(path, p.Servers)
		if len(p.Models) == 0 {
			k.fault(path+".Models", "expected at least one")
		}
		for j, m := range p.Models {
			at := fmt.Sprintf("%s.Models[%d]", path, j)
			k.name(at, string(m))
			if other, twice := models[m]; twice {
				k.fault(at, "%q is served by pool %q too", m, other)
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
		k.name(path+".Name", string(s.Name))
		k.unique(path+".Name", string(s.Name), seen)
		k.between(path+".MaxConcurrency", s.MaxConcurrency, 1, maxConcurrency)
		k.duration(path+".Timeout", s.Timeout, maxTimeout)
		k.checkServers(path, s.Servers)
		known[s.Name] = true
	}
	return known
}

func (k *checker) checkTrainers(trainers []Trainer, models map[ModelName]PoolName) {
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, t := range trainers {
		path := fmt.Sprintf("Trainers[%d]", i)
		k.name(path+".Name", string(t.Name))
		k.unique(path+".Name", string(t.Name), names)
		if models[t.Model] != t.Pool || t.Pool == "" {
			k.fault(path+".Model", "pool %q does not serve model %q", t.Pool, t.Model)
		}
		if !k.zones[t.Zone] {
			k.fault(path+".Zone", "%q is not in Zones", t.Zone)
		}
		k.between(path+".Share", t.Share, 1, maxShare)
		if t.MaxVersionsBehind > maxVersionsBound {
			k.fault(path+".MaxVersionsBehind", "got %d, expected at most %d", t.MaxVersionsBehind, maxVersionsBound)
		}
		if t.Objective != ObjectiveIdleTime && t.Objective != ObjectiveStaleness {
			k.fault(path+".Objective", "got %q, expected %s or %s", t.Objective, ObjectiveIdleTime, ObjectiveStaleness)
		}
		k.duration(path+".StepDeadline", t.StepDeadline, maxStepDeadline)
		k.tokenHash(path+".TokenHash", t.TokenHash, hashes)
	}
}

func (k *checker) checkCallers(callers []Caller, models map[ModelName]PoolName, services map[ServiceName]bool) {
	names, hashes, pools := map[string]bool{}, map[string]bool{}, map[PoolName]bool{}
	for _, p := range models {
		pools[p] = true
	}
	for i, a := range callers {
		path := fmt.Sprintf("Callers[%d]", i)
		k.name(path+".Name", string(a.Name))
		k.unique(path+".Name", string(a.Name), names)
		k.between(path+".Share", a.Share, 1, maxShare)
		for j, p := range a.Pools {
			if !pools[p] {
				k.fault(fmt.Sprintf("%s.Pools[%d]", path, j), "%q is not declared", p)
			}
		}
		for j, s := range a.Services {
			if !services[s] {
				k.fault(fmt.Sprintf("%s.Services[%d]", path, j), "%q is not declared", s)
			}
		}
		k.tokenHash(path+".TokenHash", a.TokenHash, hashes)
	}
}

func set[T comparable](list []T) map[T]bool {
	m := make(map[T]bool, len(list))
	for _, e := range list {
		m[e] = true
	}
	return m
}
