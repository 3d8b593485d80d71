package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	partitions  = 8
	maxReadWait = 30 * time.Second
	appendTime  = 4 * time.Millisecond
)

type partitionKey struct {
	topic  string
	number int
}

type groupMember struct {
	expires time.Time
	topic   string
	// joined orders the members by when they joined.
	joined int
}

// store is a stand-in for the platform's store: a partitioned log with one consumer group.
type store struct {
	mu      sync.Mutex
	records map[partitionKey][][]byte
	changed chan struct{}

	members    map[string]*groupMember
	generation uint64
	joins      int
	// holder holds the partitions as they were handed out, target as they shall be.
	holder, target map[int]string

	address string

	// readsPerS and writesPerS are the calls a second that are served; 0 means no limit.
	readsPerS, writesPerS float64
	reads, writes         bucket
	// served and refused count the calls since the last report.
	served, refused map[string]int
}

// bucket is a token bucket that holds the calls of a tenth of a second.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(rate, n float64) bool {
	now := time.Now()
	b.tokens = min(rate/10, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// admits reports whether a call is within the store's rates, and counts it.
func (s *store) admits(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := strings.TrimPrefix(r.URL.Path, "/api/log-")
	if kind == "read" {
		kind += "." + r.URL.Query().Get("topic")
	}
	ok := true
	switch {
	case strings.HasPrefix(kind, "read"), kind == "newest", kind == "owners":
		ok = s.readsPerS == 0 || s.reads.take(s.readsPerS, 1)
	case kind == "join":
		ok = s.writesPerS == 0 || s.writes.take(s.writesPerS, 0.1)
	default:
		ok = s.writesPerS == 0 || s.writes.take(s.writesPerS, 1)
	}
	if ok {
		s.served[kind]++
	} else {
		s.refused[kind]++
	}
	return ok
}

// report writes how many calls were served and refused since the last report.
func (s *store) report(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, refused := 0, 0
	for _, k := range sortedKeys(s.served) {
		total += s.served[k]
	}
	for _, k := range sortedKeys(s.refused) {
		refused += s.refused[k]
	}
	r.add("store", "served", total, "refused", refused, "kinds", fmt.Sprint(s.served))
	clear(s.served)
	clear(s.refused)
}

func startStore(ip string) (*store, error) {
	s := &store{
		records: map[partitionKey][][]byte{}, changed: make(chan struct{}), members: map[string]*groupMember{},
		holder: map[int]string{}, target: map[int]string{}, served: map[string]int{}, refused: map[string]int{},
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes the value of a key, as the operator, trainers and samplers do. A nil value
// deletes the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(partitionKey{topic, 0}, [][]byte{record})
}

// add is called with s.mu held.
func (s *store) add(k partitionKey, records [][]byte) int {
	first := len(s.records[k])
	s.records[k] = append(s.records[k], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.admits(r) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	q := r.URL.Query()
	number, _ := strconv.Atoi(q.Get("part"))
	k := partitionKey{q.Get("topic"), number}
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, q.Get("at"), k, body)
	case "/api/log-read":
		s.read(w, r, k)
	case "/api/log-newest":
		s.newest(w, k)
	case "/api/log-join":
		s.join(w, body)
	case "/api/log-leave":
		s.leave(w, body)
	case "/api/log-owners":
		s.owners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, at string, k partitionKey, body []byte) {
	time.Sleep(appendTime)
	var records [][]byte
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at != "" && at != strconv.Itoa(len(s.records[k])) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": len(s.records[k])})
		return
	}
	first := s.add(k, records)
	reply(w, http.StatusOK, map[string]int{"offset": first, "end": len(s.records[k])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, k partitionKey) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	timeout := time.After(min(maxReadWait, time.Duration(wait)*time.Millisecond))
	for expired := wait == 0; ; {
		s.mu.Lock()
		stored, changed := s.records[k], s.changed
		s.mu.Unlock()
		if from < len(stored) || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(stored)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(stored) && (i == from || len(out)+len(stored[i]) < maxKB<<10); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(stored[i])))
				out = append(out, stored[i]...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, k partitionKey) {
	type entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	byKey := map[string]entry{}
	for offset, r := range s.records[k] {
		n := 1 + int(r[0])
		byKey[string(r[1:n])] = entry{string(r[1:n]), r[n:], offset}
	}
	items := []entry{}
	for _, e := range byKey {
		if len(e.Value) > 0 {
			items = append(items, e)
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(s.records[k])})
}

type groupCall struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

// deal drops the members that have been silent and deals the partitions evenly. A living
// holder keeps a partition until it has joined with the new generation. It is called with
// s.mu held.
func (s *store) deal(changed bool) {
	now := time.Now()
	for name, m := range s.members {
		if now.After(m.expires) {
			delete(s.members, name)
			changed = true
		}
	}
	if !changed {
		return
	}
	s.generation++
	var names []string
	for name := range s.members {
		names = append(names, name)
	}
	// Of members with as few partitions, the one that joined first gets the next one.
	slices.SortFunc(names, func(a, b string) int { return s.members[a].joined - s.members[b].joined })
	count := map[string]int{}
	if len(names) > 0 {
		most := (partitions + len(names) - 1) / len(names)
		for p := range partitions {
			if t := s.target[p]; s.members[t] == nil || count[t] >= most {
				delete(s.target, p)
			} else {
				count[t]++
			}
		}
		for p := range partitions {
			if s.target[p] == "" {
				t := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
				s.target[p] = t
				count[t]++
			}
		}
	} else {
		clear(s.target)
	}
	for p := range partitions {
		if s.members[s.holder[p]] == nil {
			s.holder[p] = s.target[p]
		}
	}
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var g groupCall
	if json.Unmarshal(body, &g) != nil || len(g.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[g.Member]
	isNew := m == nil
	if isNew {
		s.joins++
		m = &groupMember{topic: g.Topics[0], joined: s.joins}
		s.members[g.Member] = m
	}
	m.expires = time.Now().Add(time.Duration(g.TTL) * time.Millisecond)
	s.deal(isNew)
	rows := [][3]any{}
	for p := range partitions {
		if s.holder[p] == g.Member && s.target[p] != g.Member && g.Generation >= s.generation {
			s.holder[p] = s.target[p]
		}
		if s.holder[p] == g.Member && s.target[p] == g.Member {
			rows = append(rows, [3]any{g.Topics[0], p, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": g.TTL, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var g groupCall
	if json.Unmarshal(body, &g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.members[g.Member]
	delete(s.members, g.Member)
	s.deal(known)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deal(false)
	rows := [][4]any{}
	for p := range partitions {
		if m := s.members[s.holder[p]]; m != nil {
			rows = append(rows, [4]any{m.topic, p, s.holder[p], 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": rows})
}

// holderOf returns the member that holds the only partition of a topic that has records.
func (s *store) holderOf(topic string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range partitions {
		if len(s.records[partitionKey{topic, p}]) > 0 && s.members[s.holder[p]] != nil {
			return s.holder[p]
		}
	}
	return ""
}
