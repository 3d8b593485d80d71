// Package routing finds the route of a request. It is pure.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"lagoonlink.org/rollout"
)

// Table is an immutable index over the declared routes.
type Table struct {
	version  rollout.ConfigurationVersion
	limits   rollout.CallerLimits
	services map[rollout.ServiceName]rollout.RoutedService
	// hosts lists each host's routes, longest prefix first.
	hosts map[string][]rollout.Route
}

// New returns the index of a table of routes.
func New(t rollout.RouteTable) *Table {
	x := &Table{
		version:  t.Version,
		limits:   t.Limits,
		services: map[rollout.ServiceName]rollout.RoutedService{},
		hosts:    map[string][]rollout.Route{},
	}
	for _, s := range t.Services {
		x.services[s.Name] = s
	}
	for _, r := range t.Routes {
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b rollout.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return x
}

// Version returns the version of the table.
func (t *Table) Version() rollout.ConfigurationVersion { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() rollout.CallerLimits { return t.limits }

// Services returns the services by name.
func (t *Table) Services() map[rollout.ServiceName]rollout.RoutedService { return t.services }

// Find returns the route with the longest prefix that begins the path. A port
// in the host does not count.
func (t *Table) Find(host, path string) (rollout.Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return rollout.Route{}, false
}

// Choose returns the service that gets a request, in proportion to the splits'
// weights. The same key always gets the same service of the same splits.
func Choose(r rollout.Route, key uint64) rollout.ServiceName {
	total := 0
	for _, s := range r.Splits {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return r.Splits[0].Service
	}
	at := int(key % uint64(total))
	for _, s := range r.Splits {
		at -= max(0, s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Splits[0].Service
}

// SingleVersion reports whether some route to a service asks that one weight
// version generates each sample.
func (t *Table) SingleVersion(name rollout.ServiceName) bool {
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.SingleVersion && slices.ContainsFunc(r.Splits, func(s rollout.Split) bool { return s.Service == name }) {
				return true
			}
		}
	}
	return false
}
