// Package tenancy decides which tenant sent a request, from the API keys that a
// configuration declares, and what that tenant may do. It is pure: it does no I/O and
// reads no clock.
package tenancy

import (
	"crypto/sha256"
	"slices"
	"strings"

	"lagoonlink.org/rollout"
)

// maxKeyBytes is the length of the longest API key in bytes.
const maxKeyBytes = 256

// HashKey returns the hash by which an API key is stored and compared, so that neither
// memory nor the time of a comparison discloses keys. It returns false for an empty key
// and for one over 256 bytes, which belong to nobody.
func HashKey(key string) (rollout.KeyHash, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return rollout.KeyHash{}, false
	}
	return sha256.Sum256([]byte(key)), true
}

// Table maps the API keys of one configuration to its tenants. It is immutable. A nil
// Table stands for a configuration that declares no tenants.
type Table struct {
	version rollout.ConfigurationVersion
	// priorities holds the priority of each tenant, or nil if the routes' apply.
	priorities map[string]*int
	// holders holds the name of the tenant that has a key, or "" if several have it.
	holders map[rollout.KeyHash]string
	shared  []string
	keyless []string
}

// New returns the table of a configuration, or nil if it declares no tenants. Entries of
// the same name are one tenant.
func New(t rollout.RouteTable) *Table {
	if t.Tenants == nil {
		return nil
	}
	n := len(t.Tenants)
	table := &Table{version: t.Version, priorities: make(map[string]*int, n), holders: make(map[rollout.KeyHash]string, 2*n)}
	keys := make(map[string]int, n)
	for _, e := range t.Tenants {
		if !usableName(e.Name) {
			table.keyless = append(table.keyless, e.Name)
			continue
		}
		keys[e.Name] += len(e.Keys)
		if p, known := table.priorities[e.Name]; !known || p == nil || e.Priority != nil && *e.Priority < *p {
			table.priorities[e.Name] = e.Priority
		}
		for _, k := range e.Keys {
			holder, held := table.holders[k]
			if held && holder != e.Name {
				table.shared = append(table.shared, holder, e.Name)
				table.holders[k] = ""
				continue
			}
			table.holders[k] = e.Name
		}
	}
	for name, n := range keys {
		if n == 0 {
			table.keyless = append(table.keyless, name)
		}
	}
	table.shared = slices.DeleteFunc(sortedSet(table.shared), func(name string) bool { return name == "" })
	table.keyless = sortedSet(table.keyless)
	return table
}

// usableName reports whether a tenant's name can be sent in a header.
func usableName(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}

func sortedSet(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// Tenants returns the number of tenants, Keys that of their keys.
func (t *Table) Tenants() int { return len(t.priorities) }

// Keys returns the number of different keys that the configuration declares.
func (t *Table) Keys() int { return len(t.holders) }

// Shared returns the names of the tenants that have a key in common with another one.
func (t *Table) Shared() []string { return t.shared }

// Keyless returns the names of the tenants that have no usable key or no usable name.
func (t *Table) Keyless() []string { return t.keyless }

// find returns the tenant that holds the only key of a request, or "" if there is none.
func (t *Table) find(keys []string) string {
	if len(keys) != 1 {
		return ""
	}
	h, ok := HashKey(keys[0])
	if !ok {
		return ""
	}
	return t.holders[h]
}

// publicQueue is the prefix of the queues of public routes. Usable names contain no
// control character, so that no tenant shares such a queue.
const publicQueue = "\x00"

// Queue returns in which queue of its class a tenant's request on a route waits, and its
// priority there. Without tenants, each route has a queue and all have the same priority.
func (t *Table) Queue(tenant string, route rollout.Route) (queue string, priority int) {
	switch {
	case t == nil:
		return route.Name, 0
	case tenant == "":
		return publicQueue + route.Name, route.Priority
	}
	if p := t.priorities[tenant]; p != nil {
		return tenant, *p
	}
	return tenant, route.Priority
}
