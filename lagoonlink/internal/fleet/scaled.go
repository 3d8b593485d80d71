package fleet

import (
	"cmp"
	"maps"
	"slices"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/scaling"
)

// ScaledService is a service whose number of servers may be changed.
type ScaledService struct {
	Name    rollout.ServiceName
	Scaling rollout.Scaling
	// Engines reports whether its servers are model engines.
	Engines bool
	// Zones are the zones that have a price or a server.
	Zones []rollout.Zone
	// Slots is the number of requests that one server runs concurrently.
	Slots int
	// Present counts the servers that are not leaving.
	Present map[scaling.Kind]int
}

// ScaledServices returns the services whose number of servers may be changed.
func (f *Fleet) ScaledServices() []ScaledService {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return nil
	}
	services := map[rollout.ServiceName]*ScaledService{}
	zones := map[rollout.ServiceName]map[rollout.Zone]bool{}
	for name, s := range f.table.Services() {
		if s.Scaling == nil {
			continue
		}
		services[name] = &ScaledService{Name: name, Scaling: *s.Scaling, Engines: len(s.Models) > 0, Slots: s.Slots, Present: map[scaling.Kind]int{}}
		zones[name] = map[rollout.Zone]bool{}
		for zone := range s.Scaling.ZonePrices {
			zones[name][zone] = true
		}
	}
	for _, s := range f.registry.Servers() {
		service := services[s.Service]
		if service == nil {
			continue
		}
		zones[s.Service][s.Zone] = true
		service.Slots = cmp.Or(service.Slots, s.Slots)
		if !s.Leaving {
			service.Present[scaling.Kind{Zone: s.Zone, Reclaimable: s.Reclaimable}]++
		}
	}
	var out []ScaledService
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		s.Zones, s.Slots = slices.Sorted(maps.Keys(zones[name])), min(cmp.Or(s.Slots, defaultSlots), maxSlots)
		out = append(out, *s)
	}
	return out
}

// ServiceOf returns the service of a registered server, if its number of servers may be
// changed.
func (f *Fleet) ServiceOf(name rollout.ServerName) (rollout.ServiceName, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.registry.Find(name)
	if !ok || f.table == nil {
		return "", false
	}
	service := f.table.Services()[s.Service]
	return s.Service, service.Scaling != nil
}
