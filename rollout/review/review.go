// Package review checks a route table before it is published and compares it with the one
// in force. It does no I/O. Findings never contain API keys.
package review

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/tenancy"
)

// Severity states what a finding means for the requests that an entry is for.
type Severity string

// Severities.
const (
	// Error means that a VM refuses the configuration, the entry or all its requests.
	Error Severity = "Error"
	// Warning means that an entry has no effect or that its limits contradict each other.
	Warning Severity = "Warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	// Field is the path of the field, such as Routes[3].Timeout, or empty for the document.
	Field   string
	Message string
}

// Errorf returns an error about a field.
func Errorf(field, format string, arguments ...any) Finding {
	return Finding{Severity: Error, Field: field, Message: fmt.Sprintf(format, arguments...)}
}

// HasErrors reports whether a finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Table returns the findings about a route table that a VM can decode. The indices of
// keys are those in the table, which lacks unusable keys of the document.
func Table(t rollout.RouteTable) []Finding {
	r := &reviewer{table: t}
	if t.Version == 0 {
		r.add(Warning, "Version", "the version is missing: a VM takes the configuration only if it knows no other")
	}
	r.services()
	r.routes()
	r.tenants()
	return r.findings
}

type reviewer struct {
	table    rollout.RouteTable
	findings []Finding
}

func (r *reviewer) add(s Severity, field, format string, arguments ...any) {
	r.findings = append(r.findings, Finding{Severity: s, Field: field, Message: fmt.Sprintf(format, arguments...)})
}

func (r *reviewer) services() {
	last := map[rollout.ServiceName]int{}
	for i, s := range r.table.Services {
		if earlier, ok := last[s.Name]; ok {
			r.add(Warning, fmt.Sprintf("Services[%d]", earlier), "has no effect: entry %d has the same name %q", i, s.Name)
		}
		last[s.Name] = i
	}
}

// matchKey is what the requests of a route have in common.
type matchKey struct{ host, prefix string }

func (r *reviewer) routes() {
	declared := map[rollout.ServiceName]bool{}
	for _, s := range r.table.Services {
		declared[s.Name] = true
	}
	first, names := map[matchKey]int{}, map[string]int{}
	for i, e := range r.table.Routes {
		path := fmt.Sprintf("Routes[%d]", i)
		r.reach(path, e)
		key := matchKey{e.Host, e.Prefix}
		if earlier, ok := first[key]; ok {
			r.add(Warning, path+".Prefix", "never matches: route %q (entry %d) has the same host and prefix and comes first", r.table.Routes[earlier].Name, earlier)
		} else {
			first[key] = i
		}
		if earlier, ok := names[e.Name]; ok {
			r.add(Warning, path+".Name", "entry %d has the same name %q: their requests share a queue and metrics", earlier, e.Name)
		} else {
			names[e.Name] = i
		}
		r.splits(path, e, declared)
		r.limits(path, e)
	}
}

// reach reports a host or prefix that no request can have. Requests are matched by the host
// in lower case without its port and by the path without the query.
func (r *reviewer) reach(path string, e rollout.Route) {
	colon := strings.LastIndexByte(e.Host, ':')
	switch {
	case e.Host == "":
		r.add(Warning, path+".Host", "never matches: the host is empty")
	case e.Host != strings.ToLower(e.Host):
		r.add(Warning, path+".Host", "never matches: hosts are compared in lower case, got %q", e.Host)
	case colon > 0 && !strings.Contains(e.Host[colon:], "]"):
		r.add(Warning, path+".Host", "never matches: hosts are compared without the port, got %q", e.Host)
	}
	if e.Prefix != "" && e.Prefix[0] != '/' || strings.ContainsAny(e.Prefix, "?#") {
		r.add(Warning, path+".Prefix", "never matches: expected a path that begins with / and has no query, got %q", e.Prefix)
	}
}

func (r *reviewer) splits(path string, e rollout.Route, declared map[rollout.ServiceName]bool) {
	total := 0
	for i, s := range e.Splits {
		total += max(0, s.Weight)
		if !declared[s.Service] {
			r.add(Error, fmt.Sprintf("%s.Splits[%d].Service", path, i), "service %q isn't declared: its requests are refused", s.Service)
		}
	}
	if total == 0 && len(e.Splits) > 1 {
		r.add(Warning, path+".Splits", "no weight is positive: all requests go to service %q", e.Splits[0].Service)
	}
}

func (r *reviewer) limits(path string, e rollout.Route) {
	switch needed := time.Duration(max(1, e.MaxAttempts)) * e.Objective; {
	case e.Timeout <= 0:
	case e.Objective > e.Timeout:
		r.add(Warning, path+".Objective", "the latency objective of %s is over the time-out of %s", e.Objective, e.Timeout)
	// The division guards against an overflow of the product.
	case e.Kind == rollout.RouteIdempotent && e.MaxAttempts > 1 && e.Objective > e.Timeout/time.Duration(e.MaxAttempts):
		r.add(Warning, path+".MaxAttempts", "%d attempts that each take the latency objective of %s need %s, over the time-out of %s", e.MaxAttempts, e.Objective, needed, e.Timeout)
	}
	if e.ResultDeadline > e.Retention {
		r.add(Warning, path+".ResultDeadline", "results are due after %s, but samples are processed for %s only", e.ResultDeadline, e.Retention)
	}
}

// tenants reports what tenancy.New, which the VMs use, finds unusable.
func (r *reviewer) tenants() {
	table := tenancy.New(r.table)
	if table == nil {
		return
	}
	if len(r.table.Tenants) == 0 {
		r.add(Warning, "Tenants", "the list is empty: no key is valid, and only public routes are served")
	}
	shared, keyless := table.Shared(), table.Keyless()
	holders := map[rollout.KeyHash][]string{}
	for _, e := range r.table.Tenants {
		for _, k := range e.Keys {
			holders[k] = append(holders[k], e.Name)
		}
	}
	for i, e := range r.table.Tenants {
		path := fmt.Sprintf("Tenants[%d]", i)
		switch {
		case slices.Contains(keyless, e.Name) && len(e.Keys) > 0:
			r.add(Error, path+".Name", "got %q, expected a name that can be sent in a header: the tenant's keys are refused", e.Name)
			continue
		case slices.Contains(keyless, e.Name):
			r.add(Warning, path+".Keys", "tenant %q has no usable key: no request is its own", e.Name)
		}
		if !slices.Contains(shared, e.Name) {
			continue
		}
		for j, k := range e.Keys {
			others := otherNames(holders[k], e.Name, keyless)
			if len(others) > 0 {
				r.add(Error, fmt.Sprintf("%s.Keys[%d]", path, j), "tenant %q has this key in common with %s: it is refused for all of them", e.Name, strings.Join(others, ", "))
			}
		}
	}
}

// otherNames returns the sorted, quoted names other than one and those left out.
func otherNames(names []string, name string, leftOut []string) []string {
	var out []string
	for _, n := range names {
		if n != name && !slices.Contains(leftOut, n) {
			out = append(out, fmt.Sprintf("%q", n))
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return slices.Compact(out)
}
