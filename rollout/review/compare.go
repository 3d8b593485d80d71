package review

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lagoonlink.org/rollout"
)

// ChangeKind is the kind of a change between two route tables.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "Added"
	Removed ChangeKind = "Removed"
	// Moved is a route whose requests go to other services.
	Moved   ChangeKind = "Moved"
	Changed ChangeKind = "Changed"
)

// Change is a difference between two route tables.
type Change struct {
	Kind ChangeKind
	// Entry names the route, service or tenant.
	Entry string
	// Field is the changed field, or empty if the whole entry was added or removed.
	Field    string
	Old, New string
	// Effect is what the change does to requests, also to those under way.
	Effect string
}

// Comparison lists the changes from one route table to the next.
type Comparison struct {
	From, To rollout.ConfigurationVersion
	Changes  []Change
}

// Compare returns the changes from the table in force to the next one. Routes are identified
// by host and prefix, as requests find them; services and tenants by name.
func Compare(old, next rollout.RouteTable) Comparison {
	c := &Comparison{From: old.Version, To: next.Version}
	c.routes(old.Routes, next.Routes)
	c.services(old.Services, next.Services)
	c.tenants(old.Tenants, next.Tenants)
	c.change("Limits", "BodyBytes", old.Limits.BodyBytes, next.Limits.BodyBytes, "applies to requests that arrive later")
	return *c
}

// Superseded returns the error that a VM ignores the next table, which isn't newer than the
// one in force, or nothing.
func Superseded(old, next rollout.RouteTable) []Finding {
	if next.Version > old.Version {
		return nil
	}
	return []Finding{Errorf("Version", "got version %d, expected one over %d, which is in force: a VM ignores it", next.Version, old.Version)}
}

func (c *Comparison) add(kind ChangeKind, entry, effect string) {
	c.Changes = append(c.Changes, Change{Kind: kind, Entry: entry, Effect: effect})
}

// change adds the change of a field if its values differ.
func (c *Comparison) change(entry, field string, old, next any, effect string) {
	if before, after := fmt.Sprint(old), fmt.Sprint(next); before != after {
		c.Changes = append(c.Changes, Change{Kind: Changed, Entry: entry, Field: field, Old: before, New: after, Effect: effect})
	}
}

// Effects on requests and samples under way. Requests in queues are placed again under a
// new configuration; those at a server stay there.
const (
	effectRouteRemoved = "requests under way keep the route on which they arrived, unless another prefix matches them; later ones get the next matching prefix or are refused; samples of open jobs without a route wait until their retention ends"
	effectMoved        = "requests in queues and samples between attempts go to the new services; requests at a server end there"
	effectArrival      = "applies to requests that arrive later; requests under way keep the old value"
	effectNextAttempt  = "applies to requests that arrive later and to the next attempt of those under way"
	effectJobs         = "applies to jobs that are submitted later; open jobs keep the old value"
)

func indexRoutes(routes []rollout.Route) (map[matchKey]rollout.Route, []matchKey) {
	index, order := map[matchKey]rollout.Route{}, []matchKey(nil)
	for _, r := range routes {
		key := matchKey{r.Host, r.Prefix}
		if _, known := index[key]; !known {
			index[key] = r
			order = append(order, key)
		}
	}
	return index, order
}

func routeEntry(r rollout.Route) string {
	return fmt.Sprintf("route %q (%s%s)", r.Name, r.Host, r.Prefix)
}

func (c *Comparison) routes(before, after []rollout.Route) {
	olds, oldOrder := indexRoutes(before)
	news, newOrder := indexRoutes(after)
	for _, key := range oldOrder {
		if _, kept := news[key]; !kept {
			c.add(Removed, routeEntry(olds[key]), effectRouteRemoved)
		}
	}
	for _, key := range newOrder {
		r := news[key]
		if old, known := olds[key]; known {
			c.route(old, r)
			continue
		}
		c.add(Added, routeEntry(r), "requests that arrive later go to "+splitText(r.Splits)+"; requests in queues that it matches do too")
	}
}

// splitText returns the services of a route with their weights, the latter if there are several.
func splitText(splits []rollout.Split) string {
	var out []string
	for _, s := range splits {
		if len(splits) == 1 {
			return string(s.Service)
		}
		out = append(out, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return strings.Join(out, " ")
}

func sameServices(a, b []rollout.Split) bool {
	return slices.EqualFunc(a, b, func(x, y rollout.Split) bool { return x.Service == y.Service })
}

func (c *Comparison) route(old, r rollout.Route) {
	entry := routeEntry(r)
	if a, b := splitText(old.Splits), splitText(r.Splits); a != b {
		kind := Moved
		if sameServices(old.Splits, r.Splits) {
			kind = Changed
		}
		c.Changes = append(c.Changes, Change{Kind: kind, Entry: entry, Field: "Splits", Old: a, New: b, Effect: effectMoved})
	}
	c.change(entry, "Name", old.Name, r.Name, "metrics and logs use the new name")
	c.change(entry, "Kind", kindName(old.Kind), kindName(r.Kind), "applies to requests that arrive later; a request under way is sent again only if both kinds are idempotent")
	c.change(entry, "Timeout", old.Timeout, r.Timeout, effectArrival)
	c.change(entry, "Objective", old.Objective, r.Objective, "applies to requests that arrive later; with tenants also to how long those under way may wait for a server")
	c.change(entry, "Priority", old.Priority, r.Priority, effectNextAttempt)
	c.change(entry, "MaxAttempts", old.MaxAttempts, r.MaxAttempts, "requests under way get the smaller number; samples the new one")
	c.change(entry, "ResultDeadline", old.ResultDeadline, r.ResultDeadline, effectJobs)
	c.change(entry, "Retention", old.Retention, r.Retention, effectJobs)
	c.change(entry, "SingleVersion", old.SingleVersion, r.SingleVersion, "applies to samples under way too; a text that doesn't meet it is dropped")
	c.change(entry, "Resumable", old.Resumable, r.Resumable, effectArrival)
	c.change(entry, "Public", old.Public, r.Public, "decides whether requests that arrive later need a key; requests under way go on")
}

func kindName(k rollout.RouteKind) string {
	names := []string{"Idempotent", "NonIdempotent", "Stream", "Jobs"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprint(uint8(k))
}

func (c *Comparison) services(before, after []rollout.RoutedService) {
	olds, news := byName(before, serviceName), byName(after, serviceName)
	for _, name := range sortedNames(olds, news) {
		old, known := olds[name]
		s, kept := news[name]
		entry := fmt.Sprintf("service %q", name)
		switch {
		case !kept:
			c.add(Removed, entry, "its servers get no more requests: those at a server end there, requests in its queue are refused as not run, samples wait")
		case !known:
			c.add(Added, entry, "its registered servers get requests")
		default:
			c.change(entry, "Slots", old.Slots, s.Slots, "applies to servers that don't state their slots; requests at a server go on")
			c.change(entry, "Models", old.Models, s.Models, "samples and requests in queues are placed again; those at a server go on")
		}
	}
}

func serviceName(s rollout.RoutedService) string { return string(s.Name) }

func byName[T any](entries []T, name func(T) string) map[string]T {
	out := map[string]T{}
	for _, e := range entries {
		out[name(e)] = e
	}
	return out
}

func sortedNames[T any](a, b map[string]T) []string {
	var out []string
	for name := range a {
		out = append(out, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}

// tenantState is a tenant with the keys and the highest priority of all entries of its name.
type tenantState struct {
	keys     map[rollout.KeyHash]bool
	priority *int
}

func indexTenants(tenants []rollout.Tenant) map[string]tenantState {
	out := map[string]tenantState{}
	for _, t := range tenants {
		s, known := out[t.Name]
		if !known {
			s.keys = map[rollout.KeyHash]bool{}
		}
		if s.priority == nil || t.Priority != nil && *t.Priority < *s.priority {
			s.priority = t.Priority
		}
		for _, k := range t.Keys {
			s.keys[k] = true
		}
		out[t.Name] = s
	}
	return out
}

func (c *Comparison) tenants(before, after []rollout.Tenant) {
	switch {
	case before == nil && after != nil:
		c.add(Added, "tenants", "requests that arrive later need a key except on public routes; requests under way go on; open jobs stay readable by anybody")
	case before != nil && after == nil:
		c.add(Removed, "tenants", "requests need no key; jobs of all tenants are readable by anybody")
		return
	}
	olds, news := indexTenants(before), indexTenants(after)
	for _, name := range sortedNames(olds, news) {
		old, known := olds[name]
		t, kept := news[name]
		entry := fmt.Sprintf("tenant %q", name)
		switch {
		case !kept:
			c.add(Removed, entry, fmt.Sprintf("%d keys are refused for requests that arrive later, unless another tenant has them; requests under way and jobs go on", len(old.keys)))
		case !known:
			c.add(Added, entry, fmt.Sprintf("%d keys", len(t.keys)))
		default:
			c.keys(entry, old.keys, t.keys)
			c.change(entry, "Priority", priorityText(old.priority), priorityText(t.priority), effectNextAttempt)
		}
	}
}

func (c *Comparison) keys(entry string, old, next map[rollout.KeyHash]bool) {
	added, removed := countMissing(next, old), countMissing(old, next)
	if added+removed == 0 {
		return
	}
	c.Changes = append(c.Changes, Change{
		Kind: Changed, Entry: entry, Field: "Keys", Old: fmt.Sprint(len(old)), New: fmt.Sprint(len(next)),
		Effect: fmt.Sprintf("%d added, %d removed; removed keys are refused for requests that arrive later, unless another tenant has them; requests under way and jobs go on", added, removed),
	})
}

// countMissing returns how many keys of a are not in b.
func countMissing(a, b map[rollout.KeyHash]bool) int {
	n := 0
	for k := range a {
		if !b[k] {
			n++
		}
	}
	return n
}

func priorityText(p *int) string {
	if p == nil {
		return "that of the route"
	}
	return fmt.Sprint(*p)
}
