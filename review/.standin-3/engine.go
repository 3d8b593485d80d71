package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	loadTime    = 900 * time.Millisecond
	engineSlots = 12
	engineQueue = 36
)

// engine is a model sampler.
type engine struct {
	*process
	fleet *engines

	em       sync.Mutex
	versions map[string]int
	loading  string
	accepted uint64
	fence    uint64
	runs     map[string]bool
	waiting  int
	ended    bool
}

// engines are the model samplers of a service and what reached them.
type engines struct {
	w      *world
	models []string

	mu  sync.Mutex
	all []*engine
	// named holds the newest named version of each model, namedAt when one was last named.
	named   map[string]int
	namedAt time.Time
	// events returns the number of events of an item.
	events func(id string) int
	gap    time.Duration
	// fails reports whether samplers answer 500 to an item, after failTime.
	fails    func(id string) bool
	failTime time.Duration
	// data returns the data of an event of an item.
	data func(id string, n int) string
	// items holds what the samplers know of each item.
	items map[string]*itemState
	// lastBegan is when an item last began to run.
	lastBegan time.Time
}

type itemState struct {
	at       int // samplers that have it
	since    time.Time
	finished bool
	runs     []string
	// arrivals are when the item reached samplers, answers when one answered 500.
	arrivals, answers []time.Time
}

func newEngines(w *world, models ...string) *engines {
	return &engines{w: w, models: models, named: map[string]int{}, items: map[string]*itemState{}, events: func(string) int { return 27 }, gap: 40 * time.Millisecond, data: func(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }}
}

func (f *engines) item(id string) *itemState {
	s := f.items[id]
	if s == nil {
		s = &itemState{since: time.Now()}
		f.items[id] = s
	}
	return s
}

// start starts a sampler. A new one has the newest version of each model.
func (f *engines) start(zone, software string) (*engine, error) {
	e := &engine{fleet: f, versions: map[string]int{}, runs: map[string]bool{}}
	f.mu.Lock()
	for _, m := range f.models {
		e.versions[m] = max(1, f.named[m])
	}
	f.mu.Unlock()
	e.process = &process{world: f.w, service: "reader-models", zone: zone, software: software, slots: engineSlots}
	e.process.more = func() map[string]any { return map[string]any{"stage": "dual", "models": e.modelList()} }
	e.process.serve = e.handle
	f.mu.Lock()
	f.all = append(f.all, e)
	f.mu.Unlock()
	return e, e.process.start()
}

func (e *engine) modelList() []map[string]any {
	e.em.Lock()
	defer e.em.Unlock()
	var out []map[string]any
	for _, m := range slices.Sorted(maps.Keys(e.versions)) {
		out = append(out, map[string]any{"name": m, "version": e.versions[m], "adapters": []string{}})
	}
	return out
}

func (e *engine) version(model string) int {
	e.em.Lock()
	defer e.em.Unlock()
	return e.versions[model]
}

// name writes a new version of a model, as its trainer does.
func (f *engines) name(model string, version int) {
	f.mu.Lock()
	f.named[model], f.namedAt = version, time.Now()
	f.mu.Unlock()
	f.w.store.put("keyed.op", "version/"+model, map[string]any{"model": model, "version": version})
	f.w.record.add("version-named", "model", model, "version", version)
}

// loaded returns the living samplers that have a version of a model or a newer one.
func (f *engines) loaded(model string, version int) []*engine {
	f.mu.Lock()
	all := slices.Clone(f.all)
	f.mu.Unlock()
	var out []*engine
	for _, e := range all {
		if _, up := e.identity(); up && e.version(model) >= version {
			out = append(out, e)
		}
	}
	return out
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/report":
		e.report(w)
	case r.URL.Path == "/api/order" && r.Method == http.MethodPost:
		e.order(w, r)
	case r.Method == http.MethodPost:
		e.run(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	list := e.modelList()
	e.em.Lock()
	defer e.em.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "dual", "models": list, "busy": e.loading != "", "seq": e.accepted, "waiting": e.waiting, "running": len(e.runs),
		"kv_used": 0, "kv_total": 65008, "handles": 0, "born": e.born, "state": "ready",
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version                 int
		Fence                   uint64
		Precondition            *uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.fleet.mu.Lock()
	named := max(1, e.fleet.named[o.Model])
	e.fleet.mu.Unlock()
	id, _ := e.identity()
	e.em.Lock()
	defer e.em.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case o.Version > named || e.versions[o.Model] == 0:
		status = http.StatusBadRequest
	case e.versions[o.Model] >= o.Version:
		status = http.StatusOK
	case e.loading != "" || o.Precondition != nil && *o.Precondition != e.accepted:
		status = http.StatusConflict
	}
	e.fleet.w.record.add("order", "sampler", id, "model", o.Model, "version", o.Version, "holder", o.Holder, "fence", o.Fence, "status", status)
	if status < 300 {
		e.fence = max(e.fence, o.Fence)
	}
	if status == http.StatusAccepted {
		e.accepted++
		e.loading = o.Model
		time.AfterFunc(loadTime, func() {
			e.em.Lock()
			e.versions[o.Model], e.loading = o.Version, ""
			e.em.Unlock()
			e.announce()
		})
	}
	w.WriteHeader(status)
}

// run runs an item: it sends its events from the one that the request asks for.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, _ := e.identity()
	attempt, model := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Model")
	refuse := func(status int) {
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	e.em.Lock()
	switch {
	case attempt == "":
		e.em.Unlock()
		refuse(http.StatusBadRequest)
		return
	case e.loading == model, e.waiting >= engineQueue:
		e.em.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	e.waiting++
	e.em.Unlock()
	f := e.fleet
	f.mu.Lock()
	s := f.item(attempt)
	s.at++
	s.arrivals = append(s.arrivals, time.Now())
	f.mu.Unlock()
	began, finished := false, false
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	defer func() {
		f.mu.Lock()
		s.at--
		s.since = time.Now()
		s.finished = s.finished || finished
		f.mu.Unlock()
		e.em.Lock()
		if began {
			delete(e.runs, attempt)
		}
		e.em.Unlock()
	}()
	for {
		e.em.Lock()
		if len(e.runs) < engineSlots {
			e.waiting--
			e.runs[attempt] = true
			began = true
			e.em.Unlock()
			break
		}
		e.em.Unlock()
		select {
		case <-r.Context().Done():
			e.em.Lock()
			e.waiting--
			e.em.Unlock()
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
	f.mu.Lock()
	s.runs = append(s.runs, id)
	f.lastBegan = time.Now()
	f.mu.Unlock()
	if f.fails != nil && f.fails(attempt) {
		select {
		case <-r.Context().Done():
			f.w.record.add("cut", "sampler", id, "item", attempt)
			return
		case <-time.After(f.failTime):
		}
		f.w.record.add("failed", "sampler", id, "item", attempt)
		f.mu.Lock()
		s.answers = append(s.answers, time.Now())
		f.mu.Unlock()
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Server-Stamp", stamp(id))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	f.w.record.add("run", "sampler", id, "item", attempt, "software", e.software, "version", e.version(model), "after-event", last)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Server-Stamp", stamp(id))
	w.Header().Set("Content-Type", "text/event-stream")
	version := e.version(model)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	control := http.NewResponseController(w)
	for n := last + 1; n <= f.events(attempt); n++ {
		select {
		case <-r.Context().Done():
			f.w.record.add("cut", "sampler", id, "item", attempt, "before-event", n)
			return
		case <-time.After(f.gap):
		}
		if v := e.version(model); v != version {
			version = v
			fmt.Fprintf(w, "x-weight-versions: %d\n", v)
		}
		fmt.Fprintf(w, "id: %d\n", n)
		// Data of several lines takes a data field for each line.
		for line := range strings.SplitSeq(f.data(attempt, n), "\n") {
			fmt.Fprintf(w, "data: %s\n", line)
		}
		fmt.Fprint(w, "\n")
		if control.Flush() != nil {
			f.w.record.add("cut", "sampler", id, "item", attempt, "before-event", n+1)
			return
		}
	}
	finished = true
}

// taken returns how many requests the living samplers run and how many slots they have.
func (f *engines) taken() (running, slots int) {
	f.mu.Lock()
	all := slices.Clone(f.all)
	f.mu.Unlock()
	for _, e := range all {
		if _, up := e.identity(); up {
			e.em.Lock()
			running += len(e.runs)
			slots += engineSlots
			e.em.Unlock()
		}
	}
	return running, slots
}
