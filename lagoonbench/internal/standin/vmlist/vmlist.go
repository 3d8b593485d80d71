// Package vmlist is a stand-in of the platform's list of VMs, which shows what
// was true a while ago.
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

type version struct {
	at   time.Time
	list []rollout.ListedVM
}

// List is the stand-in.
type List struct {
	address string
	lag     time.Duration

	mu       sync.Mutex
	versions []version
	outage   bool
}

// New returns a list that lags and is not running yet.
func New(address string, lag time.Duration, initial []rollout.ListedVM) *List {
	return &List{address: address, lag: lag, versions: []version{{list: initial}}}
}

// Change changes the list; readers see it after the lag.
func (l *List) Change(change func([]rollout.ListedVM) []rollout.ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.versions[len(l.versions)-1].list
	l.versions = append(l.versions, version{time.Now(), change(slices.Clone(latest))})
}

// SetLeaving marks the VM at an address as leaving.
func (l *List) SetLeaving(address string, leaving bool) {
	l.Change(func(list []rollout.ListedVM) []rollout.ListedVM {
		for i := range list {
			if list[i].Address == address {
				list[i].Leaving = leaving
			}
		}
		return list
	})
}

// SetOutage breaks every request while it is set.
func (l *List) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// Run serves until the context ends.
func (l *List) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		list, number, outage := l.shown(time.Now())
		if outage {
			panic(http.ErrAbortHandler)
		}
		tag := fmt.Sprintf("%q", fmt.Sprint(number))
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", tag)
		_ = json.NewEncoder(w).Encode(list)
	})
	return journal.Serve(ctx, l.address, mux)
}

// shown returns what the list shows, and the number of that version.
func (l *List) shown(now time.Time) (list []rollout.ListedVM, number int, outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, v := range l.versions {
		if i == 0 || now.Sub(v.at) >= l.lag {
			list, number = v.list, i
		}
	}
	return list, number, l.outage
}
