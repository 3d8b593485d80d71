package tenancy_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/tenancy"
)

// tenant returns a tenant with the hashes of the usable keys.
func tenant(name string, keys ...string) rollout.Tenant {
	t := rollout.Tenant{Name: name}
	for _, k := range keys {
		if h, ok := tenancy.HashKey(k); ok {
			t.Keys = append(t.Keys, h)
		}
	}
	return t
}

func ranked(t rollout.Tenant, priority int) rollout.Tenant {
	t.Priority = &priority
	return t
}

func table(tenants ...rollout.Tenant) *tenancy.Table {
	return tenancy.New(rollout.RouteTable{Version: 7, Tenants: append([]rollout.Tenant{}, tenants...)})
}

var (
	longest = strings.Repeat("k", 256)
	strict  = tenancy.Policy{StrictRevoke: true, RevokeAfter: 2 * time.Second}
)

// TestIdentify guards against keys that count for the wrong tenant, status 401 for a key
// that may be valid in a configuration that the VM has not read, and removed keys that
// stay in use where that is forbidden.
func TestIdentify(t *testing.T) {
	declared := table(tenant("alpha", "a1", "a2", longest), tenant("beta", "b", "shared"), tenant("gamma", "shared"), tenant("beta", "b2"), tenant("", "nobody"), tenant("odd\nname", "odd"))
	const fresh, lagging = 1500 * time.Millisecond, 1501 * time.Millisecond
	for name, c := range map[string]struct {
		keys   []string
		age    time.Duration
		policy tenancy.Policy
		tenant string
		reason rollout.Reason
	}{
		"a key":                              {[]string{"a1"}, fresh, tenancy.Policy{}, "alpha", ""},
		"another key of the tenant":          {[]string{"a2"}, 0, tenancy.Policy{}, "alpha", ""},
		"the longest key":                    {[]string{longest}, 0, tenancy.Policy{}, "alpha", ""},
		"a tenant with two entries":          {[]string{"b2"}, 0, tenancy.Policy{}, "beta", ""},
		"no key":                             {nil, fresh, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"an empty key":                       {[]string{""}, 0, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"an unknown key":                     {[]string{"A1"}, fresh, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"a key over 256 bytes":               {[]string{longest + "k"}, 0, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"a key of two tenants":               {[]string{"shared"}, 0, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"a key twice":                        {[]string{"a1", "a1"}, 0, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"a key of a tenant without a name":   {[]string{"nobody"}, 0, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"a name that no header can hold":     {[]string{"odd"}, 0, tenancy.Policy{}, "", rollout.ReasonUnauthorized},
		"no key, lagging":                    {nil, lagging, tenancy.Policy{}, "", rollout.ReasonConfigurationOutdated},
		"an unknown key, lagging":            {[]string{"new"}, lagging, tenancy.Policy{}, "", rollout.ReasonConfigurationOutdated},
		"a known key, lagging":               {[]string{"a1"}, time.Hour, tenancy.Policy{}, "alpha", ""},
		"a known key, strict, in time":       {[]string{"a1"}, 2 * time.Second, strict, "alpha", ""},
		"a known key, strict, too late":      {[]string{"a1"}, 2*time.Second + 1, strict, "", rollout.ReasonConfigurationOutdated},
		"an unknown key, strict, too late":   {[]string{"x"}, time.Hour, strict, "", rollout.ReasonConfigurationOutdated},
		"an unknown key, strict and current": {[]string{"x"}, 0, strict, "", rollout.ReasonUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			got := declared.Identify(c.keys, c.age, c.policy)
			assert.Equal(t, "tenant", got.Tenant, c.tenant)
			if c.reason == "" {
				assert.True(t, "no refusal", got.Refusal == nil)
				return
			}
			assert.Equal(t, "reason", got.Refusal.Reason, c.reason)
			assert.Equal(t, "verdict", got.Refusal.Verdict, rollout.NotRun)
			assert.Equal(t, "states when to retry", got.Refusal.RetryAfter > 0, c.reason == rollout.ReasonConfigurationOutdated)
		})
	}
	assert.Equal(t, "tenants with a common key", declared.Shared(), []string{"beta", "gamma"})
	assert.Equal(t, "tenants without a usable name", declared.Keyless(), []string{"", "odd\nname"})
	t.Run("a configuration without tenants", func(t *testing.T) {
		assert.Equal(t, "caller", tenancy.New(rollout.RouteTable{}).Identify([]string{"a1"}, time.Hour, strict), tenancy.Caller{})
	})
	t.Run("an empty list of tenants", func(t *testing.T) {
		assert.Equal(t, "reason", table().Identify([]string{"a1"}, 0, strict).Refusal.Reason, rollout.ReasonUnauthorized)
	})
}

// TestJobs guards against jobs that another tenant can use or learn of, and against jobs
// that their own tenant is told don't exist.
func TestJobs(t *testing.T) {
	declared := table(tenant("alpha", "a"), tenant("beta", "b"))
	const lagging = 2 * time.Second
	alpha, beta := declared.Identify([]string{"a"}, 0, tenancy.Policy{}), declared.Identify([]string{"b"}, 0, tenancy.Policy{})
	nobody, late := declared.Identify(nil, 0, tenancy.Policy{}), declared.Identify([]string{"x"}, lagging, tenancy.Policy{})
	public, _ := nobody.On(rollout.Route{Public: true})
	unconfigured := tenancy.Unconfigured(rollout.Refuse(rollout.ReasonNoConfiguration, "none"))
	for name, c := range map[string]struct {
		caller                 tenancy.Caller
		owner                  string
		use, repeat, whenNoJob rollout.Reason
	}{
		"its own job":                       {alpha, "alpha", "", "", rollout.ReasonStepUnknown},
		"another tenant's job":              {beta, "alpha", rollout.ReasonStepUnknown, rollout.ReasonJobConflict, rollout.ReasonStepUnknown},
		"a job without a tenant":            {beta, "", "", "", rollout.ReasonStepUnknown},
		"another's job, lagging":            {declared.Identify([]string{"b"}, lagging, tenancy.Policy{}), "alpha", rollout.ReasonConfigurationOutdated, rollout.ReasonConfigurationOutdated, rollout.ReasonStepUnknown},
		"nobody and a job":                  {nobody, "alpha", rollout.ReasonUnauthorized, rollout.ReasonUnauthorized, rollout.ReasonUnauthorized},
		"nobody and a job without a tenant": {nobody, "", "", "", rollout.ReasonUnauthorized},
		"an unknown key, lagging":           {late, "alpha", rollout.ReasonConfigurationOutdated, rollout.ReasonConfigurationOutdated, rollout.ReasonConfigurationOutdated},
		"a public route":                    {public, "alpha", rollout.ReasonStepUnknown, rollout.ReasonJobConflict, rollout.ReasonStepUnknown},
		"no configuration":                  {unconfigured, "alpha", rollout.ReasonNoConfiguration, rollout.ReasonNoConfiguration, rollout.ReasonStepUnknown},
		"no tenants declared":               {tenancy.Caller{}, "alpha", "", "", rollout.ReasonStepUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, "use", reason(c.caller.MayUse("j", c.owner)), c.use)
			assert.Equal(t, "repeat", reason(c.caller.MayRepeat("j", c.owner)), c.repeat)
			assert.Equal(t, "no such job", reason(c.caller.UnknownJob("j")), c.whenNoJob)
		})
	}
}

func reason(f *rollout.Failure) rollout.Reason {
	if f == nil {
		return ""
	}
	return f.Reason
}

func TestQueue(t *testing.T) {
	declared := table(tenant("alpha", "a"), ranked(tenant("beta", "b"), 0), ranked(tenant("beta", "b2"), 5))
	route := rollout.Route{Name: "r", Priority: 3}
	for name, c := range map[string]struct {
		table    *tenancy.Table
		tenant   string
		queue    string
		priority int
	}{
		"the route's priority":       {declared, "alpha", "alpha", 3},
		"the tenant's priority":      {declared, "beta", "beta", 0},
		"a tenant removed meanwhile": {declared, "gone", "gone", 3},
		"a public route":             {declared, "", "\x00r", 3},
		"no tenants declared":        {nil, "", "r", 0},
	} {
		t.Run(name, func(t *testing.T) {
			queue, priority := c.table.Queue(c.tenant, route)
			assert.Equal(t, "queue", queue, c.queue)
			assert.Equal(t, "priority", priority, c.priority)
		})
	}
}

// FuzzIdentify compares the table with a search of the keys in clear. The input holds lines
// of a tenant's name and one of its keys, and the last line the key of the request.
func FuzzIdentify(f *testing.F) {
	f.Add("alpha a\nbeta b\na")
	f.Add("alpha a\nbeta a\na")
	f.Add("alpha \n a\n")
	f.Fuzz(func(t *testing.T, text string) {
		lines := strings.Split(text, "\n")
		key := lines[len(lines)-1]
		var tenants []rollout.Tenant
		var holders []string
		for _, l := range lines[:len(lines)-1] {
			name, k, _ := strings.Cut(l, " ")
			tenants = append(tenants, tenant(name, k))
			if k == key && key != "" && len(key) <= 256 && name != "" && name == strings.TrimSpace(name) && !strings.ContainsFunc(name, func(r rune) bool { return r < 32 || r == 127 }) {
				holders = append(holders, name)
			}
		}
		slices.Sort(holders)
		want := ""
		if holders = slices.Compact(holders); len(holders) == 1 {
			want = holders[0]
		}
		got := table(tenants...).Identify([]string{key}, 0, tenancy.Policy{})
		assert.Equal(t, "tenant", got.Tenant, want)
		assert.Equal(t, "refused", got.Refusal != nil, want == "")
	})
}

func BenchmarkIdentify(b *testing.B) {
	declared := table(tenant("alpha", "0123456789abcdef0123456789abcdef"))
	for b.Loop() {
		declared.Identify([]string{"0123456789abcdef0123456789abcdef"}, 0, tenancy.Policy{})
	}
}

// BenchmarkNew builds the table of a large configuration, which happens for each of several
// configurations in quick succession.
func BenchmarkNew(b *testing.B) {
	t := rollout.RouteTable{Routes: make([]rollout.Route, 1400)}
	for n := range 100 {
		t.Tenants = append(t.Tenants, tenant(fmt.Sprint("tenant", n), fmt.Sprint("key", n, "a"), fmt.Sprint("key", n, "b")))
	}
	for b.Loop() {
		tenancy.New(t)
	}
}
