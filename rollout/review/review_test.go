package review_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/review"
)

var (
	keyA, keyB, keyC = rollout.KeyHash{1}, rollout.KeyHash{2}, rollout.KeyHash{3}
	priority         = 3
)

// sound returns a table without findings.
func sound() rollout.RouteTable {
	return rollout.RouteTable{
		Version: 7,
		Routes: []rollout.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", MaxAttempts: 3, Timeout: 10 * time.Second, Objective: time.Second, Splits: []rollout.Split{{Service: "s", Weight: 1}}},
			{Name: "jobs", Host: "a.example", Prefix: "/jobs/", Kind: rollout.RouteJobs, MaxAttempts: 3, ResultDeadline: 7500 * time.Millisecond, Retention: 40 * time.Second, Splits: []rollout.Split{{Service: "e", Weight: 1}}},
		},
		Services: []rollout.RoutedService{{Name: "s"}, {Name: "e", Slots: 8, Models: []rollout.ModelName{"m"}}},
		Tenants:  []rollout.Tenant{{Name: "alpha", Keys: []rollout.KeyHash{keyA}}, {Name: "beta", Keys: []rollout.KeyHash{keyB}, Priority: &priority}},
	}
}

// TestTable guards against faults of a configuration that are found only when its requests
// are refused.
func TestTable(t *testing.T) {
	assert.Equal(t, "findings of a sound table", review.Table(sound()), nil)
	withoutTenants := sound()
	withoutTenants.Tenants = nil
	assert.Equal(t, "findings without tenants", review.Table(withoutTenants), nil)
	for name, c := range map[string]struct {
		change func(*rollout.RouteTable)
		// want is the only finding's severity, field and the begin of its message.
		want string
	}{
		"no version":                       {func(t *rollout.RouteTable) { t.Version = 0 }, "Warning Version the version is missing"},
		"a service declared twice":         {func(t *rollout.RouteTable) { t.Services = append(t.Services, t.Services[0]) }, "Warning Services[0] has no effect"},
		"an equal prefix of the same host": {func(t *rollout.RouteTable) { t.Routes[1].Prefix = "/chat/" }, `Warning Routes[1].Prefix never matches: route "chat" (entry 0)`},
		"the same name":                    {func(t *rollout.RouteTable) { t.Routes[1].Name = "chat" }, "Warning Routes[1].Name entry 0 has the same name"},
		"no host":                          {func(t *rollout.RouteTable) { t.Routes[0].Host = "" }, "Warning Routes[0].Host never matches"},
		"a host in upper case":             {func(t *rollout.RouteTable) { t.Routes[0].Host = "A.example" }, "Warning Routes[0].Host never matches: hosts are compared in lower"},
		"a host with a port":               {func(t *rollout.RouteTable) { t.Routes[0].Host = "a.example:80" }, "Warning Routes[0].Host never matches: hosts are compared without"},
		"a relative prefix":                {func(t *rollout.RouteTable) { t.Routes[0].Prefix = "chat/" }, "Warning Routes[0].Prefix never matches"},
		"a prefix with a query":            {func(t *rollout.RouteTable) { t.Routes[0].Prefix = "/chat?a" }, "Warning Routes[0].Prefix never matches"},
		"an undeclared service":            {func(t *rollout.RouteTable) { t.Routes[0].Splits[0].Service = "x" }, `Error Routes[0].Splits[0].Service service "x" isn't declared`},
		"splits without weights": {func(t *rollout.RouteTable) {
			t.Routes[0].Splits = []rollout.Split{{Service: "s"}, {Service: "e"}}
		}, `Warning Routes[0].Splits no weight is positive: all requests go to service "s"`},
		"an objective over the time-out":    {func(t *rollout.RouteTable) { t.Routes[0].Objective = 11 * time.Second }, "Warning Routes[0].Objective the latency objective of 11s is over the time-out of 10s"},
		"attempts that don't fit":           {func(t *rollout.RouteTable) { t.Routes[0].Objective = 4 * time.Second }, "Warning Routes[0].MaxAttempts 3 attempts that each take the latency objective of 4s need 12s"},
		"a result deadline over retention":  {func(t *rollout.RouteTable) { t.Routes[1].Retention = time.Second }, "Warning Routes[1].ResultDeadline results are due after 7.5s"},
		"an empty list of tenants":          {func(t *rollout.RouteTable) { t.Tenants = []rollout.Tenant{} }, "Warning Tenants the list is empty"},
		"a tenant without keys":             {func(t *rollout.RouteTable) { t.Tenants[1].Keys = nil }, `Warning Tenants[1].Keys tenant "beta" has no usable key`},
		"a tenant without a name":           {func(t *rollout.RouteTable) { t.Tenants[1].Name = "" }, `Error Tenants[1].Name got ""`},
		"a tenant's name with a line break": {func(t *rollout.RouteTable) { t.Tenants[1].Name = "a\nb" }, `Error Tenants[1].Name got "a\nb"`},
		"a streaming route, many attempts": {func(t *rollout.RouteTable) {
			t.Routes[0].Kind, t.Routes[0].Objective = rollout.RouteStream, 4*time.Second
		}, ""},
		"two entries of one tenant":          {func(t *rollout.RouteTable) { t.Tenants[1].Name = "alpha" }, ""},
		"one host's prefix at another":       {func(t *rollout.RouteTable) { t.Routes[1].Host, t.Routes[1].Prefix = "b.example", "/chat/" }, ""},
		"attempts whose product overflows":   {func(t *rollout.RouteTable) { t.Routes[0].MaxAttempts, t.Routes[0].Objective = 1<<30, 10*time.Second }, "Warning Routes[0].MaxAttempts 1073741824 attempts"},
		"an address of IPv6 with a port":     {func(t *rollout.RouteTable) { t.Routes[0].Host = "[::1]:80" }, "Warning Routes[0].Host never matches: hosts are compared without"},
		"an address of IPv6 without a port":  {func(t *rollout.RouteTable) { t.Routes[0].Host = "[::1]" }, ""},
		"an objective without a time-out":    {func(t *rollout.RouteTable) { t.Routes[0].Timeout = 0 }, ""},
		"a route without an objective":       {func(t *rollout.RouteTable) { t.Routes[0].Objective = 0 }, ""},
		"a second prefix behind a short one": {func(t *rollout.RouteTable) { t.Routes[0].Prefix = "/" }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			table := sound()
			c.change(&table)
			got := review.Table(table)
			if c.want == "" {
				assert.Equal(t, "findings", got, nil)
				return
			}
			assert.Equal(t, "number of findings", len(got), 1)
			text := fmt.Sprint(got[0].Severity, " ", got[0].Field, " ", got[0].Message)
			assert.True(t, fmt.Sprintf("%q begins with %q", text, c.want), strings.HasPrefix(text, c.want))
			assert.Equal(t, "has errors", review.HasErrors(got), strings.HasPrefix(c.want, "Error"))
		})
	}
	shared := sound()
	shared.Tenants[1].Keys = append(shared.Tenants[1].Keys, keyA)
	assert.Equal(t, "findings for a key of two tenants", review.Table(shared), []review.Finding{
		{Severity: review.Error, Field: "Tenants[0].Keys[0]", Message: `tenant "alpha" has this key in common with "beta": it is refused for all of them`},
		{Severity: review.Error, Field: "Tenants[1].Keys[1]", Message: `tenant "beta" has this key in common with "alpha": it is refused for all of them`},
	})
}

// TestCompare guards against a change that an operator isn't told of.
func TestCompare(t *testing.T) {
	assert.Equal(t, "changes of the same table", review.Compare(sound(), sound()).Changes, nil)
	next := sound()
	next.Version = 8
	next.Routes[0].Timeout, next.Routes[0].Splits[0].Service = 5*time.Second, "e"
	next.Routes[1].Prefix = "/drafts/"
	next.Services = append(next.Services[1:], rollout.RoutedService{Name: "new"})
	next.Tenants = []rollout.Tenant{{Name: "alpha", Keys: []rollout.KeyHash{keyB, keyC}, Priority: &priority}, {Name: "gamma"}}
	next.Limits.BodyBytes = 9
	got := review.Compare(sound(), next)
	assert.Equal(t, "versions", []rollout.ConfigurationVersion{got.From, got.To}, []rollout.ConfigurationVersion{7, 8})
	var changes []string
	for _, c := range got.Changes {
		assert.True(t, "the effect is stated", c.Effect != "")
		changes = append(changes, strings.TrimRight(fmt.Sprint(c.Kind, " ", c.Entry, " ", c.Field, " ", c.Old, " ", c.New), " "))
	}
	assert.Equal(t, "changes", changes, []string{
		`Removed route "jobs" (a.example/jobs/)`,
		`Moved route "chat" (a.example/chat/) Splits s e`,
		`Changed route "chat" (a.example/chat/) Timeout 10s 5s`,
		`Added route "jobs" (a.example/drafts/)`,
		`Added service "new"`,
		`Removed service "s"`,
		`Changed tenant "alpha" Keys 1 2`,
		`Changed tenant "alpha" Priority that of the route 3`,
		`Removed tenant "beta"`,
		`Added tenant "gamma"`,
		`Changed Limits BodyBytes 0 9`,
	})
	keys := slices.IndexFunc(got.Changes, func(c review.Change) bool { return c.Field == "Keys" })
	assert.True(t, "keys are counted", strings.HasPrefix(got.Changes[keys].Effect, "2 added, 1 removed"))

	weights, open := sound(), sound()
	weights.Routes[0].Splits[0].Weight, open.Tenants = 2, nil
	assert.Equal(t, "changes of a sole weight", review.Compare(sound(), weights).Changes, nil)
	assert.Equal(t, "entry of removed tenants", review.Compare(sound(), open).Changes[0].Entry, "tenants")
	assert.Equal(t, "findings about a newer version", review.Superseded(sound(), next), nil)
	assert.True(t, "an equal version is an error", review.HasErrors(review.Superseded(sound(), sound())))
}
