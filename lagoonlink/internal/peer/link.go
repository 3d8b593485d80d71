package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/wire"
)

// Numbers of links.
const (
	pathPeer      = "/peer"
	headerProof   = "Lagoonlink-Peer-Proof"
	proofValidity = time.Minute
	dialTimeout   = time.Second
	writeTimeout  = 5 * time.Second
	linkIdle      = 2 * time.Minute
	maxRequests   = 1024
)

// proof shows knowledge of a key for connections to one address for a while.
func proof(key []byte, to string, at time.Time) string {
	text := strconv.FormatInt(at.Unix(), 10)
	return text + "." + hex.EncodeToString(proofSum(key, to, text))
}

func proofSum(key []byte, to, at string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("lagoonlink peer\x00" + to + "\x00" + at))
	return mac.Sum(nil)
}

func checkProof(keys [][]byte, to, got string, now time.Time) error {
	text, sum, ok := strings.Cut(got, ".")
	seconds, err := strconv.ParseInt(text, 10, 64)
	given, hexErr := hex.DecodeString(sum)
	if !ok || err != nil || hexErr != nil {
		return errors.New("the proof can't be read")
	}
	if now.Sub(time.Unix(seconds, 0)).Abs() > proofValidity {
		return errors.New("the proof is out of date")
	}
	for _, k := range keys {
		if hmac.Equal(proofSum(k, to, text), given) {
			return nil
		}
	}
	return errors.New("the proof matches no key")
}

// links keeps one outgoing connection to each peer that was asked lately.
type links struct {
	node *Node
	// timeout bounds the making of a connection.
	timeout time.Duration

	mu    sync.Mutex
	links map[string]*link
}

func newLinks(n *Node) *links {
	return &links{node: n, timeout: dialTimeout, links: map[string]*link{}}
}

// link is one outgoing connection with the requests that wait on it.
type link struct {
	conn *websocket.Conn

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan wire.Body
	broken  error
	used    time.Time
}

func (s *links) ask(ctx context.Context, address string, b wire.Body) (wire.Body, error) {
	l, err := s.get(ctx, address)
	if err != nil {
		return wire.Body{}, &rollout.Failure{Verdict: rollout.NotRun, Reason: rollout.ReasonPeerUnreachable, Cause: err}
	}
	id, reply, err := l.register()
	if err != nil {
		return wire.Body{}, &rollout.Failure{Verdict: rollout.NotRun, Reason: rollout.ReasonPeerUnreachable, Cause: err}
	}
	defer l.forget(id)
	if err := s.write(l.conn, wire.Frame{ID: id, Body: b}); err != nil {
		s.drop(address, l, err)
		return wire.Body{}, &rollout.Failure{Verdict: rollout.MayHaveRun, Reason: rollout.ReasonPeerUnreachable, Cause: err}
	}
	select {
	case answer, ok := <-reply:
		if !ok {
			return wire.Body{}, &rollout.Failure{Verdict: rollout.MayHaveRun, Reason: rollout.ReasonPeerUnreachable, Cause: errors.New("the connection broke")}
		}
		return answer, nil
	case <-ctx.Done():
		return wire.Body{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
	}
}

// get returns the connection to a peer. Dialing holds no lock, so that a peer
// that does not answer holds up no request to another; of two connections made
// at once the first is kept.
func (s *links) get(ctx context.Context, address string) (*link, error) {
	if l := s.known(address); l != nil {
		return l, nil
	}
	l, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if first := s.links[address]; first != nil {
		_ = l.conn.CloseNow()
		return first, nil
	}
	s.links[address] = l
	go s.read(address, l)
	return l, nil
}

func (s *links) known(address string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[address]
	if l != nil {
		l.used = time.Now()
	}
	return l
}

func (s *links) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	header := http.Header{headerProof: {proof(s.node.config.Keys[0], address, time.Now())}}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+pathPeer, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	return &link{conn: conn, waiting: map[uint64]chan wire.Body{}, used: time.Now()}, nil
}

func (s *links) write(conn *websocket.Conn, f wire.Frame) error {
	data, err := wire.Encode(&f, wire.MaxFrameBytes)
	if err != nil {
		return err
	}
	s.node.Traffic.SentBytes.Add(uint64(len(data)))
	s.node.Traffic.SentMessages.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func (s *links) next(ctx context.Context, conn *websocket.Conn) (wire.Frame, error) {
	var f wire.Frame
	_, data, err := conn.Read(ctx)
	if err != nil {
		return f, err
	}
	s.node.Traffic.ReceivedBytes.Add(uint64(len(data)))
	s.node.Traffic.ReceivedMessages.Add(1)
	return f, wire.Decode(data, wire.MaxFrameBytes, &f)
}

func (s *links) read(address string, l *link) {
	for {
		f, err := s.next(context.Background(), l.conn)
		if err != nil {
			s.drop(address, l, err)
			return
		}
		l.deliver(f)
	}
}

func (s *links) drop(address string, l *link, err error) {
	s.mu.Lock()
	if s.links[address] == l {
		delete(s.links, address)
	}
	s.mu.Unlock()
	l.fail(err)
	_ = l.conn.CloseNow()
}

// closeIdle closes links that were not used for a while.
func (s *links) closeIdle(now time.Time) {
	s.mu.Lock()
	var idle []*link
	for a, l := range s.links {
		if now.Sub(l.used) > linkIdle && l.quiet() {
			idle = append(idle, l)
			delete(s.links, a)
		}
	}
	s.mu.Unlock()
	for _, l := range idle {
		_ = l.conn.Close(websocket.StatusNormalClosure, "idle")
	}
}

func (l *link) quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0
}

func (l *link) register() (uint64, chan wire.Body, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken != nil {
		return 0, nil, l.broken
	}
	if len(l.waiting) >= maxRequests {
		return 0, nil, errors.New("too many requests wait on the connection")
	}
	l.next++
	reply := make(chan wire.Body, 1)
	l.waiting[l.next] = reply
	return l.next, reply, nil
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *link) deliver(f wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply, ok := l.waiting[f.ID]; ok {
		delete(l.waiting, f.ID)
		reply <- f.Body
	}
}

func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = err
	for id, reply := range l.waiting {
		delete(l.waiting, id)
		close(reply)
	}
}

// Serve is the duty that answers peers.
func (n *Node) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.config.Address)
	if err != nil {
		return rollout.Tried(err, "listen for peers on %s", n.config.Address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(pathPeer, func(w http.ResponseWriter, r *http.Request) { n.accept(ctx, w, r) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	go n.sweepLinks(ctx)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return rollout.Tried(err, "serve peers")
	}
	return nil
}

func (n *Node) sweepLinks(ctx context.Context) {
	tick := time.NewTicker(linkIdle / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			n.links.closeIdle(now)
		}
	}
}

func (n *Node) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if err := checkProof(n.config.Keys, n.config.Address, r.Header.Get(headerProof), time.Now()); err != nil {
		n.config.Logger.Write(event.PeerRejected, event.Fields{"From": r.RemoteAddr, "Error": err})
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(wire.MaxFrameBytes)
	n.answer(ctx, conn)
}

// answer serves one connection: each request in its own goroutine, bounded, and
// writes one at a time.
func (n *Node) answer(ctx context.Context, conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slots := make(chan struct{}, maxRequests)
	var writes sync.Mutex
	for {
		f, err := n.links.next(ctx, conn)
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			body := n.config.Handle(ctx, f.Body)
			writes.Lock()
			defer writes.Unlock()
			_ = n.links.write(conn, wire.Frame{ID: f.ID, Body: body})
		}()
	}
}
