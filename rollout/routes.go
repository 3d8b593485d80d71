package rollout

import (
	"crypto/sha256"
	"time"
)

// RouteKind determines how the requests of a route are sent to backend servers.
type RouteKind uint8

// Kinds of routes.
const (
	// RouteIdempotent is a route whose requests may run more than once.
	RouteIdempotent RouteKind = iota
	// RouteNonIdempotent is a route whose requests run at most once per attempt of
	// the caller.
	RouteNonIdempotent
	// RouteStream is a route whose requests run at most once and are answered
	// with an event stream.
	RouteStream
	// RouteJobs is a route that accepts jobs of samples, which are stored and run
	// asynchronously.
	RouteJobs
)

// Split is the weighted share of a route's requests that is sent to one service.
type Split struct {
	Service ServiceName
	Weight  int
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout limits how long a caller waits for the response; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: the latency within which a response is
	// worth most.
	Objective time.Duration
	// Priority ranks the route's requests; 0 is the highest priority.
	Priority int
	// Splits has at least one entry.
	Splits []Split
	// MaxAttempts is the maximum number of backend servers that one request may
	// run on.
	MaxAttempts int
	// ResultDeadline is the time after submission by which all results of a job
	// are due.
	ResultDeadline time.Duration
	// Retention is the time after submission during which the samples of a job
	// are processed.
	Retention time.Duration
	// SingleVersion requires that a single weight version generates a whole
	// sample.
	SingleVersion bool
	// Resumable reports whether an interrupted stream may be resumed on another
	// server.
	Resumable bool
	// Public reports whether requests need no API key although the table declares tenants.
	Public bool
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// Tenant is a declared tenant: the callers and trainers that hold one of its API keys.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority ranks the tenant's requests in place of the routes' priorities; nil means
	// that these apply.
	Priority *int
}

// RoutedService is a service that routes refer to.
type RoutedService struct {
	Name ServiceName
	// Slots is the number of requests that one server runs concurrently, or 0 if
	// it is not declared.
	Slots int
	// Models lists the served models; it is set if the servers are model engines.
	Models []ModelName
	// Scaling is set if the number of servers may be changed.
	Scaling *Scaling
}

// Scaling states how many servers of a service may be ordered, and what they cost.
type Scaling struct {
	// Min and Max limit the servers of each zone, of both kinds together.
	Min, Max int
	// Boot is the time from an order until a new server serves.
	Boot time.Duration
	// SpotPrice is the price of a reclaimable server as a multiple of that of another one
	// in its zone.
	SpotPrice float64
	// ZonePrices holds the price of a server in each zone.
	ZonePrices map[Zone]float64
}

// CallerLimits limits the requests of callers.
type CallerLimits struct {
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int
	// IdleTimeout is the time without progress after which a caller's connection may be
	// closed; 0 if it is not stated.
	IdleTimeout time.Duration
}

// RouteTable is a version of the declared routes and services.
type RouteTable struct {
	Version  ConfigurationVersion
	Routes   []Route
	Services []RoutedService
	Limits   CallerLimits
	// Tenants lists the tenants. It is nil if the table declares none, and then requests
	// need no API key; if it is empty but not nil, no key is valid.
	Tenants []Tenant
}

// NamedVersion is a weight version that a trainer has published.
type NamedVersion struct {
	Model   ModelName
	Version WeightVersion
}

// RegisteredServer is a backend server's entry in service discovery, written by
// the server itself.
type RegisteredServer struct {
	Name    ServerName
	Service ServiceName
	Address string
	Zone    Zone
	// Software is the version of the server's software.
	Software SoftwareVersion
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving reports whether the server is draining and must get no new requests.
	Leaving bool
	// Incarnation is when the server started, in Unix milliseconds by its own clock, or 0
	// if it doesn't say.
	Incarnation int64
	// Sequence orders the entries of one incarnation: later ones have higher numbers. It is 0
	// if the entry doesn't say.
	Sequence uint64
	// Reclaimable reports whether the platform may take the server back at short notice.
	Reclaimable bool
	// LeavesIn is the time from the entry until a server that is leaving is gone, or 0 if
	// it isn't known.
	LeavesIn time.Duration
	// Versions holds the loaded weight version of each model of a model engine.
	Versions map[ModelName]WeightVersion
}
