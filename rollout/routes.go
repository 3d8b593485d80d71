package rollout

import (
	"time"
)

// RouteKind says how the requests of a route may be sent to backend servers.
type RouteKind uint8

// The kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = iota
	// RouteOnce requests run at most once for each attempt of their caller.
	RouteOnce
	// RouteStream requests are answered by a stream of events and run at most once.
	RouteStream
	// RouteJobs takes jobs of samples, which are kept and run later.
	RouteJobs
)

// Split is the share of a route's requests that goes to one service.
type Split struct {
	Service ServiceName
	Weight  int
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller may be kept waiting; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Priority ranks the route's requests; 0 goes first.
	Priority int
	// Splits has one entry or more.
	Splits []Split
	// MaxAttempts is the most backend servers that one request may run on.
	MaxAttempts int
	// ResultDeadline is when all results of a job are due, from its submission.
	ResultDeadline time.Duration
	// Retention is how long after its submission a job's samples are worked on.
	Retention time.Duration
	// SingleVersion asks that one weight version generates the whole sample.
	SingleVersion bool
	// Resumable tells that a stream may go on at another server.
	Resumable bool
}

// RoutedService is a service that routes name.
type RoutedService struct {
	Name ServiceName
	// Slots is how many requests one server runs at once; 0 when not declared.
	Slots int
	// Models is set when the servers are model engines.
	Models []ModelName
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	BodyBytes int
}

// RouteTable is one version of the declared routes and services.
type RouteTable struct {
	Version  ConfigurationVersion
	Routes   []Route
	Services []RoutedService
	Limits   CallerLimits
}

// NamedVersion is a weight version that a trainer has published.
type NamedVersion struct {
	Model   ModelName
	Version WeightVersion
}

// RegisteredServer is a backend server's own entry in service discovery.
type RegisteredServer struct {
	Name    ServerName
	Service ServiceName
	Address string
	Zone    Zone
	// Slots is how many requests the server runs at once.
	Slots int
	// Leaving tells that the server must get no new work.
	Leaving bool
	// Incarnation changes with every start of the server.
	Incarnation int64
	// Versions are the weights that a model engine has loaded.
	Versions map[ModelName]WeightVersion
}
