package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small installation.
const (
	storeParts     = 8
	appendTime     = 4 * time.Millisecond
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	maxStoreWait   = 30 * time.Second
	// Calls of all machines together, as in the site file. A whole second's calls may come at
	// once.
	writesPerSecond = 800
	readsPerSecond  = 2000
)

// partition is one partition of a topic. Nothing expires within the length of a case.
type partition struct {
	records [][]byte
	changed chan struct{}
}

// membership is one member of a group.
type membership struct {
	seen       time.Time
	ttl        time.Duration
	generation int
}

// group divides the partitions of its topics among its members.
type group struct {
	generation int
	topics     []string
	members    map[string]*membership
	// holder is who may use a partition, target who gets it once the holder lets go.
	holder, target map[string]string
}

// bucket limits the rate of calls.
type bucket struct {
	rate, tokens float64
	at           time.Time
	refused      int
}

// take takes the given number of calls, or refuses them.
func (b *bucket) take(now time.Time, calls float64) bool {
	if b.at.IsZero() {
		b.tokens = b.rate
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < calls {
		b.refused++
		return false
	}
	b.tokens -= calls
	return true
}

// store is the platform's metadata store. Its answers are linearizable and nothing that it
// has acknowledged is lost.
type store struct {
	mu     sync.Mutex
	topics map[string][]*partition
	groups map[string]*group
	reads  bucket
	writes bucket
}

func newStore() *store {
	return &store{
		topics: map[string][]*partition{}, groups: map[string]*group{}, reads: bucket{rate: readsPerSecond}, writes: bucket{rate: writesPerSecond},
	}
}

func (s *store) partition(topic string, n int) *partition {
	if s.topics[topic] == nil {
		parts := storeParts
		if strings.HasPrefix(topic, "keyed.") {
			parts = 1
		}
		for range parts {
			s.topics[topic] = append(s.topics[topic], &partition{changed: make(chan struct{})})
		}
	}
	if n < 0 || n >= len(s.topics[topic]) {
		return nil
	}
	return s.topics[topic][n]
}

// add appends records and returns the offset of the first one. The caller holds s.mu.
func (p *partition) add(records ...[]byte) int {
	first := len(p.records)
	p.records = append(p.records, records...)
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return first
}

// put writes a key of a keyed topic, as the operator, a trainer or a sampler does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition(topic, 0).add(append(record, value...))
}

func (s *store) putJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
}

func respond(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(r) {
		_, _ = io.Copy(io.Discard, r.Body)
		respond(w, http.StatusTooManyRequests, map[string]string{"why": "rate"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, r)
	case "GET /api/log-read":
		s.serveRead(w, r)
	case "GET /api/log-newest":
		s.serveNewest(w, r)
	case "POST /api/log-join":
		s.serveJoin(w, r)
	case "POST /api/log-leave":
		s.serveLeave(w, r)
	case "GET /api/log-owners":
		s.serveOwners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// admit reports whether the rate of calls permits one more.
func (s *store) admit(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet:
		return s.reads.take(time.Now(), 1)
	case r.URL.Path == "/api/log-join":
		return s.writes.take(time.Now(), 0.1)
	}
	return s.writes.take(time.Now(), 1)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	total := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			respond(w, http.StatusBadRequest, map[string]string{"why": "framing"})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > len(rest)-4 || n > maxRecordBytes {
			respond(w, http.StatusBadRequest, map[string]string{"why": "record"})
			return
		}
		records, total, rest = append(records, rest[4:4+n]), total+n, rest[4+n:]
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	part, _ := strconv.Atoi(q.Get("part"))
	if total > maxCallBytes {
		respond(w, http.StatusRequestEntityTooLarge, map[string]string{"why": "call"})
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		respond(w, http.StatusForbidden, map[string]string{"why": "topic"})
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if p == nil {
		respond(w, http.StatusNotFound, map[string]string{"why": "part"})
		return
	}
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		respond(w, http.StatusPreconditionFailed, map[string]int{"end": len(p.records)})
		return
	}
	first := p.add(records...)
	respond(w, http.StatusOK, map[string]int{"offset": first, "end": len(p.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	from, _ := strconv.Atoi(q.Get("from"))
	kb, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		kb = 1024
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxStoreWait))
	defer timer.Stop()
	for waiting := waitMS > 0; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), part)
		if p == nil {
			s.mu.Unlock()
			respond(w, http.StatusNotFound, map[string]string{"why": "part"})
			return
		}
		if from >= len(p.records) && waiting {
			changed := p.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-timer.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i, size := from, 0; i < len(p.records); i++ {
			if size += len(p.records[i]); size > kb<<10 && i > from {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
			out = append(out, p.records[i]...)
		}
		s.mu.Unlock()
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = w.Write(out)
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), part)
	newest := map[string]item{}
	for i, record := range p.records {
		n := 1 + int(record[0])
		key := string(record[1:n])
		if delete(newest, key); len(record) > n {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(record[n:]), i}
		}
	}
	items := []item{}
	for key, it := range newest {
		if key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(p.records)})
}

type groupCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttl_ms"`
	Generation int      `json:"generation"`
}

func partKey(topic string, n int) string { return topic + "/" + strconv.Itoa(n) }

// rebalance divides the partitions evenly, moving as few as possible. The caller holds s.mu.
func (g *group) rebalance() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return
	}
	var keys []string
	for _, t := range g.topics {
		for n := range storeParts {
			keys = append(keys, partKey(t, n))
		}
	}
	count := map[string]int{}
	most := (len(keys) + len(names) - 1) / len(names)
	var open []string
	for _, k := range keys {
		if t := g.target[k]; g.members[t] != nil && count[t] < most {
			count[t]++
			continue
		}
		open = append(open, k)
	}
	for _, k := range open {
		least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		g.target[k] = least
		count[least]++
	}
}

// settle removes members whose time is up, and hands over what nobody holds any more.
func (g *group) settle(now time.Time) {
	lost := false
	for name, m := range g.members {
		if now.Sub(m.seen) > m.ttl {
			delete(g.members, name)
			lost = true
		}
	}
	if lost {
		g.rebalance()
	}
	for k, target := range g.target {
		holder := g.holder[k]
		if m := g.members[holder]; m == nil || holder != target && m.generation >= g.generation {
			g.holder[k] = target
		}
	}
}

func (s *store) group(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: map[string]*membership{}, holder: map[string]string{}, target: map[string]string{}}
	}
	return s.groups[name]
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	g, now := s.group(c.Group), time.Now()
	for _, t := range c.Topics {
		if !slices.Contains(g.topics, t) {
			g.topics = append(g.topics, t)
		}
	}
	m := g.members[c.Member]
	if m == nil {
		m = &membership{}
		g.members[c.Member] = m
		m.seen, m.ttl = now, time.Duration(c.TTL)*time.Millisecond
		g.rebalance()
	}
	m.seen, m.ttl, m.generation = now, time.Duration(c.TTL)*time.Millisecond, c.Generation
	g.settle(now)
	rows := [][3]any{}
	for _, t := range g.topics {
		for n := range storeParts {
			if k := partKey(t, n); g.holder[k] == c.Member && g.target[k] == c.Member {
				rows = append(rows, [3]any{t, n, 0})
			}
		}
	}
	respond(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": c.TTL, "parts": rows})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(c.Group)
	if g.members[c.Member] != nil {
		delete(g.members, c.Member)
		g.rebalance()
		g.settle(time.Now())
	}
	respond(w, http.StatusOK, map[string]any{})
}

func (s *store) serveOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	g.settle(time.Now())
	rows := [][4]any{}
	for _, t := range g.topics {
		for n := range storeParts {
			rows = append(rows, [4]any{t, n, g.holder[partKey(t, n)], 0})
		}
	}
	respond(w, http.StatusOK, map[string]any{"parts": rows})
}
