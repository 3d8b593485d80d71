package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partitions is the number of partitions of a new topic.
const partitions = 8

type partitionKey struct {
	topic  string
	number int
}

type groupMember struct {
	leaseEnd   time.Time
	generation uint64
}

// store is a stand-in for the platform's store: a partitioned log, keyed topics and one
// group of members.
type store struct {
	address string

	mu      sync.Mutex
	records map[partitionKey][][]byte
	// changed is closed and replaced when records are added.
	changed    chan struct{}
	members    map[string]*groupMember
	generation uint64
	// owners holds who has a partition, wanted who shall have it once the owner knows.
	owners, wanted map[int]string
	topic          string

	// expired is the number of the first records of each partition that are no longer
	// kept. It doesn't concern keyed topics.
	expired int
	// down reports whether calls for a partition are answered with 503. It may be nil.
	down func(partitionKey) bool
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), records: map[partitionKey][][]byte{}, changed: make(chan struct{}),
		members: map[string]*groupMember{}, owners: map[int]string{}, wanted: map[int]string{},
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) setDown(down func(partitionKey) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes a value of a key to a keyed topic. A nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.putRaw(topic, key, data)
}

func (s *store) putRaw(topic, key string, data []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(partitionKey{topic, 0}, [][]byte{append(record, data...)})
}

func (s *store) add(k partitionKey, records [][]byte) int {
	first := s.end(k)
	s.records[k] = append(s.records[k], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// first returns the offset of the first record that is kept, end the one after the last.
// The caller of end holds s.mu.
func (s *store) first(k partitionKey) int {
	if strings.HasPrefix(k.topic, "keyed.") {
		return 0
	}
	return s.expired
}

func (s *store) end(k partitionKey) int { return s.first(k) + len(s.records[k]) }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number, _ := strconv.Atoi(r.URL.Query().Get("part"))
	k := partitionKey{r.URL.Query().Get("topic"), number}
	s.mu.Lock()
	down := s.down != nil && k.topic != "" && s.down(k)
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		time.Sleep(4 * time.Millisecond)
		s.handleAppend(w, r, k, body)
	case "/api/log-read":
		s.handleRead(w, r, k)
	case "/api/log-newest":
		s.handleNewest(w, k)
	case "/api/log-join":
		s.handleJoin(w, body)
	case "/api/log-leave":
		s.handleLeave(w, body)
	case "/api/log-owners":
		s.handleOwners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, k partitionKey, body []byte) {
	var records [][]byte
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		if int(n) > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(s.end(k)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": s.end(k)})
		return
	}
	first := s.add(k, records)
	writeJSON(w, http.StatusOK, map[string]int{"offset": first, "end": s.end(k)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, k partitionKey) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	maxKB, err := strconv.Atoi(r.URL.Query().Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := wait == 0; ; {
		s.mu.Lock()
		stored, changed, first := s.records[k], s.changed, s.first(k)
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]int{"first": first})
			return
		}
		if from < first+len(stored) || expired {
			response := binary.BigEndian.AppendUint64(nil, uint64(first+len(stored)))
			response = binary.BigEndian.AppendUint64(response, uint64(first))
			for i := from - first; i < len(stored) && (i == from-first || len(response)+len(stored[i]) < maxKB<<10); i++ {
				response = binary.BigEndian.AppendUint32(response, uint32(len(stored[i])))
				response = append(response, stored[i]...)
			}
			_, _ = w.Write(response)
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

func (s *store) handleNewest(w http.ResponseWriter, k partitionKey) {
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
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		if e := byKey[key]; len(e.Value) > 0 {
			items = append(items, e)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(s.records[k])})
}

type groupRequest struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

// expire drops the members whose lease has ended. The caller holds s.mu.
func (s *store) expire() {
	for name, m := range s.members {
		if time.Now().After(m.leaseEnd) {
			s.remove(name)
		}
	}
}

// remove drops a member and gives up its partitions. The caller holds s.mu.
func (s *store) remove(name string) {
	if s.members[name] == nil {
		return
	}
	delete(s.members, name)
	for p, o := range s.owners {
		if o == name {
			delete(s.owners, p)
		}
	}
	s.plan()
}

// plan deals the partitions evenly and moves as few as it can. The caller holds s.mu.
func (s *store) plan() {
	s.generation++
	names := slices.Sorted(maps.Keys(s.members))
	if len(names) == 0 {
		clear(s.wanted)
		return
	}
	count := map[string]int{}
	for p := range partitions {
		o := s.wanted[p]
		least, extra := partitions/len(names), partitions%len(names)
		limit := least
		if extra > 0 {
			limit++
		}
		if s.members[o] == nil || count[o] >= limit {
			delete(s.wanted, p)
			continue
		}
		count[o]++
	}
	for p := range partitions {
		if s.wanted[p] == "" {
			s.wanted[p] = slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
			count[s.wanted[p]]++
		}
	}
}

// settle hands partitions over whose owner knows of the change. The caller holds s.mu.
func (s *store) settle() {
	for p := range partitions {
		o := s.owners[p]
		if m := s.members[o]; o != s.wanted[p] && (m == nil || m.generation >= s.generation) {
			if s.wanted[p] == "" {
				delete(s.owners, p)
			} else {
				s.owners[p] = s.wanted[p]
			}
		}
	}
}

func (s *store) handleJoin(w http.ResponseWriter, body []byte) {
	var g groupRequest
	if json.Unmarshal(body, &g) != nil || len(g.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	m := s.members[g.Member]
	if m == nil {
		m = &groupMember{}
		s.members[g.Member] = m
		s.plan()
	}
	s.topic = g.Topics[0]
	m.leaseEnd, m.generation = time.Now().Add(time.Duration(max(1000, g.TTL))*time.Millisecond), g.Generation
	s.settle()
	rows := [][3]any{}
	for p := range partitions {
		if s.owners[p] == g.Member && s.wanted[p] == g.Member {
			rows = append(rows, [3]any{s.topic, p, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": g.TTL, "parts": rows})
}

func (s *store) handleOwners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.settle()
	rows := [][4]any{}
	for p := range partitions {
		if s.owners[p] != "" {
			rows = append(rows, [4]any{s.topic, p, s.owners[p], 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}

func (s *store) handleLeave(w http.ResponseWriter, body []byte) {
	var g groupRequest
	if json.Unmarshal(body, &g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(g.Member)
	s.settle()
	writeJSON(w, http.StatusOK, map[string]any{})
}
