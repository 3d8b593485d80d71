// Package vmlist is a stand-in for the platform's list of VMs. Readers see
// changes after a delay.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lagoonlink.org/lagoonbench/internal/standin/journal"
	"lagoonlink.org/rollout"
)

// snapshot is the list as it was from changedAt on.
type snapshot struct {
	changedAt time.Time
	list      []rollout.ListedVM
}

// List simulates the platform's VM list.
type List struct {
	address string
	lag     time.Duration

	mu        sync.Mutex
	snapshots []snapshot
	outage    bool
}

// New returns a list whose readers see changes after lag. Run starts it.
func New(address string, lag time.Duration, initial []rollout.ListedVM) *List {
	return &List{address: address, lag: lag, snapshots: []snapshot{{list: initial}}}
}

// Update replaces the list by the result of change, which is called with a copy.
// Readers see the new list after the lag.
func (l *List) Update(change func([]rollout.ListedVM) []rollout.ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.snapshots[len(l.snapshots)-1].list
	l.snapshots = append(l.snapshots, snapshot{time.Now(), change(slices.Clone(latest))})
}

// SetLeaving sets whether the VM at the address is leaving.
func (l *List) SetLeaving(address string, leaving bool) {
	l.Update(func(list []rollout.ListedVM) []rollout.ListedVM {
		for i := range list {
			if list[i].Address == address {
				list[i].Leaving = leaving
			}
		}
		return list
	})
}

// SetOutage starts or ends an outage, during which every request is aborted.
func (l *List) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// Run serves until ctx is done.
func (l *List) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		list, index, outage := l.visible(time.Now())
		if outage {
			panic(http.ErrAbortHandler)
		}
		etag := fmt.Sprintf("%q", fmt.Sprint(index))
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", etag)
		_ = json.NewEncoder(w).Encode(list)
	})
	return journal.Serve(ctx, l.address, mux)
}

// visible returns the newest list that readers can see at now, and its index.
func (l *List) visible(now time.Time) (list []rollout.ListedVM, index int, outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, v := range l.snapshots {
		if i == 0 || now.Sub(v.changedAt) >= l.lag {
			list, index = v.list, i
		}
	}
	return list, index, l.outage
}
