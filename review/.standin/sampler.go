package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// sampler is a stand-in for a server of a plain service or for a model sampler.
type sampler struct {
	id, service, address string
	slots, queue         int
	// run runs a request and answers it. It is called while the request has a slot.
	run func(c *channel, q *request)
	// afterAnswer gets every answer that was sent in one piece. It may be nil.
	afterAnswer func(c *channel, q *request, status int, answer []byte)
	onOrder     func(o order) int

	mu      sync.Mutex
	state   string
	models  map[string]uint64
	born    int64
	seq     uint64
	busy    bool
	fence   uint64
	running int
	waiting []chan struct{}
}

type order struct {
	Model   string  `json:"model"`
	Version uint64  `json:"version"`
	Mode    string  `json:"mode"`
	Holder  string  `json:"holder"`
	Fence   uint64  `json:"fence"`
	Seq     *uint64 `json:"precondition"`
}

// request is one request as a sampler read it.
type request struct {
	*http.Request
	body    []byte
	attempt string
	// gone is closed when the caller has closed the channel.
	gone <-chan struct{}
}

// channel is one connection to a sampler.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// late holds bytes that the sampler sends when the next request has arrived.
	late []byte
}

func newSampler(service string, slots, queue int) *sampler {
	return &sampler{service: service, slots: slots, queue: queue, state: "ready", models: map[string]uint64{}, born: time.Now().UnixMilli()}
}

var samplerNumber int

// listen starts the sampler under a new id.
func (s *sampler) listen() {
	samplerNumber++
	s.id = fmt.Sprintf("i-%04x%d", time.Now().UnixNano()&0xffff, samplerNumber)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("sampler: %v", err)
	}
	s.address = l.Addr().String()
	go s.serve(l)
}

func (s *sampler) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveChannel(&channel{Conn: conn, reader: bufio.NewReader(conn)})
	}
}

// entry is what the sampler writes into service discovery.
func (s *sampler) entry(beat int) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := map[string]any{
		"service": s.service, "addr": s.address, "zone": "z", "version": "v1", "slots": s.slots, "state": s.state, "cold_left_ms": 0,
		"born": s.born, "seq": beat,
	}
	if len(s.models) > 0 {
		e["stage"], e["models"] = "dual", s.modelList()
	}
	return e
}

func (s *sampler) modelList() []map[string]any {
	list := []map[string]any{}
	for name, version := range s.models {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

// beat registers the sampler every 1.2 s.
func (s *sampler) beat(st *store) {
	st.put("keyed.servers", s.id, s.entry(0))
	go func() {
		for n := 1; ; n++ {
			time.Sleep(1200 * time.Millisecond)
			s.mu.Lock()
			left := s.state == ""
			s.mu.Unlock()
			if left {
				return
			}
			st.put("keyed.servers", s.id, s.entry(n))
		}
	}()
}

// setState registers another state. A sampler without a state has left.
func (s *sampler) setState(st *store, state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	if state == "" {
		st.put("keyed.servers", s.id, nil)
		return
	}
	st.put("keyed.servers", s.id, s.entry(0))
}

func (s *sampler) serveChannel(c *channel) {
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(c.late) > 0 {
			late := c.late
			c.late = nil
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		// Until the next request, the only thing that may arrive is the channel's end.
		gone, peeked := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := c.reader.Peek(1); err != nil {
				close(gone)
			}
		}()
		if !s.serveRequest(c, &request{Request: r, body: body, attempt: r.Header.Get("X-Attempt-Id"), gone: gone}) {
			return
		}
		<-peeked
	}
}

// serveRequest answers one request and reports whether the channel stays open.
func (s *sampler) serveRequest(c *channel, q *request) bool {
	if id := q.Header.Get("X-Expect-Instance"); id != "" && id != s.id {
		return s.answer(c, q, http.StatusMisdirectedRequest, http.Header{"X-Not-Executed": {"1"}, "X-Instance-Id": {s.id}}, nil)
	}
	switch q.URL.Path {
	case "/api/report":
		s.mu.Lock()
		data, _ := json.Marshal(map[string]any{
			"stage": "dual", "models": s.modelList(), "busy": s.busy, "seq": s.seq, "waiting": len(s.waiting), "running": s.running,
			"kv_used": 0, "kv_total": 100000, "handles": 0,
		})
		s.mu.Unlock()
		return s.answer(c, q, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, data)
	case "/api/order":
		var o order
		status := http.StatusBadRequest
		if json.Unmarshal(q.body, &o) == nil && o.Holder != "" && o.Fence > 0 {
			status = s.takeOrder(o)
		}
		return s.answer(c, q, status, http.Header{}, nil)
	}
	if !s.admit(q) {
		return s.answer(c, q, http.StatusServiceUnavailable, http.Header{"X-Not-Executed": {"1"}}, nil)
	}
	defer s.release()
	s.run(c, q)
	select {
	case <-q.gone:
		return false
	default:
		return true
	}
}

// takeOrder starts to load a version and returns the status.
func (s *sampler) takeOrder(o order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Fence < s.fence:
		return http.StatusPreconditionFailed
	case s.busy || o.Seq != nil && *o.Seq != s.seq:
		return http.StatusConflict
	case s.models[o.Model] == o.Version:
		return http.StatusOK
	}
	s.fence, s.busy = o.Fence, true
	s.seq++
	time.AfterFunc(900*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.models[o.Model], s.busy = o.Version, false
	})
	return http.StatusAccepted
}

// admit takes a slot or waits for one in order of arrival. It returns false if the queue
// is full or the caller has gone.
func (s *sampler) admit(q *request) bool {
	s.mu.Lock()
	if s.running < s.slots {
		s.running++
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= s.queue {
		s.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	<-turn
	select {
	case <-q.gone:
		s.release()
		return false
	default:
		return true
	}
}

func (s *sampler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

// answer sends an answer with a length. It echoes the request's id.
func (s *sampler) answer(c *channel, q *request, status int, header http.Header, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if q.attempt != "" {
		header.Set("X-Attempt-Id", q.attempt)
	}
	header.Set("Content-Length", fmt.Sprint(len(body)))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return false
	}
	if s.afterAnswer != nil {
		s.afterAnswer(c, q, status, b.Bytes())
	}
	return true
}
