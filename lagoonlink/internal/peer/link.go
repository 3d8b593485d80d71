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
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/wire"
)

// Protocol constants and limits of peer connections.
const (
	pathPeer           = "/peer"
	headerProof        = "Lagoonlink-Peer-Proof"
	proofValidity      = time.Minute
	dialTimeout        = time.Second
	writeTimeout       = 5 * time.Second
	linkIdleTimeout    = 2 * time.Minute
	maxPendingRequests = 1024
	// probeInterval is how long a request waits before its connection is probed, and before
	// each further probe. A peer answers a probe within dialTimeout.
	probeInterval = 500 * time.Millisecond
)

// newProof returns the authentication header value for a connection to one
// address: the time in Unix seconds and an HMAC over the address and the time.
// It is valid for proofValidity.
func newProof(key []byte, address string, now time.Time) string {
	timestamp := strconv.FormatInt(now.Unix(), 10)
	return timestamp + "." + hex.EncodeToString(proofMAC(key, address, timestamp))
}

func proofMAC(key []byte, address, timestamp string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("lagoonlink peer\x00" + address + "\x00" + timestamp))
	return mac.Sum(nil)
}

// verifyProof returns an error unless the proof was made for the address with one
// of the keys and is within proofValidity of now.
func verifyProof(keys [][]byte, address, proof string, now time.Time) error {
	timestamp, sum, ok := strings.Cut(proof, ".")
	seconds, err := strconv.ParseInt(timestamp, 10, 64)
	mac, hexErr := hex.DecodeString(sum)
	if !ok || err != nil || hexErr != nil {
		return errors.New("malformed peer proof")
	}
	if now.Sub(time.Unix(seconds, 0)).Abs() > proofValidity {
		return errors.New("peer proof has expired or the clocks of the VMs differ")
	}
	for _, k := range keys {
		if hmac.Equal(proofMAC(k, address, timestamp), mac) {
			return nil
		}
	}
	return errors.New("peer proof does not match any configured key")
}

// linkPool keeps one outgoing connection for each peer in recent use.
type linkPool struct {
	node        *Node
	dialTimeout time.Duration

	mu    sync.Mutex
	links map[string]*link
}

func newLinkPool(n *Node) *linkPool {
	return &linkPool{node: n, dialTimeout: dialTimeout, links: map[string]*link{}}
}

// link is one outgoing connection and the requests awaiting a response on it.
type link struct {
	conn *websocket.Conn
	// probing is set while the connection is being probed.
	probing atomic.Bool

	mu       sync.Mutex
	lastID   uint64
	pending  map[uint64]chan wire.Body
	err      error
	lastUsed time.Time
}

// request sends a request to a peer and waits for the response. The verdict of an
// error is NotRun only if the failure occurred before the write. While the request waits, and
// if it ends without a response, its connection is probed, which may have fallen silent.
func (p *linkPool) request(ctx context.Context, address string, b wire.Body) (wire.Body, error) {
	l, err := p.get(ctx, address)
	if err != nil {
		return wire.Body{}, &rollout.Failure{Verdict: rollout.NotRun, Reason: rollout.ReasonPeerUnreachable, Cause: err}
	}
	id, reply, err := l.register()
	if err != nil {
		return wire.Body{}, &rollout.Failure{Verdict: rollout.NotRun, Reason: rollout.ReasonPeerUnreachable, Cause: err}
	}
	defer l.unregister(id)
	if err := p.writeFrame(l.conn, wire.Frame{ID: id, Body: b}); err != nil {
		p.remove(address, l, err)
		return wire.Body{}, &rollout.Failure{Verdict: rollout.MayHaveRun, Reason: rollout.ReasonPeerUnreachable, Cause: err}
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case response, ok := <-reply:
			if !ok {
				return wire.Body{}, &rollout.Failure{Verdict: rollout.MayHaveRun, Reason: rollout.ReasonPeerUnreachable, Cause: errors.New("connection closed before the peer responded")}
			}
			return response, nil
		case <-ctx.Done():
			go p.probe(address, l)
			return wire.Body{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, ctx.Err())
		case <-ticker.C:
			go p.probe(address, l)
		}
	}
}

// probe removes a link whose peer doesn't answer a ping.
func (p *linkPool) probe(address string, l *link) {
	if !l.probing.CompareAndSwap(false, true) {
		return
	}
	defer l.probing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := l.conn.Ping(ctx); err != nil {
		p.remove(address, l, err)
	}
}

// get returns the connection to a peer, dialing it if there is none. It dials
// without holding the lock, so that an unresponsive peer does not block requests
// to other peers. If two goroutines dial the same peer, the first connection is
// kept.
func (p *linkPool) get(ctx context.Context, address string) (*link, error) {
	if l := p.cached(address); l != nil {
		return l, nil
	}
	l, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if first := p.links[address]; first != nil {
		_ = l.conn.CloseNow()
		return first, nil
	}
	p.links[address] = l
	go p.readLoop(address, l)
	return l, nil
}

func (p *linkPool) cached(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l != nil {
		l.lastUsed = time.Now()
	}
	return l
}

func (p *linkPool) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	header := http.Header{headerProof: {p.node.proof(address)}}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+pathPeer, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	return &link{conn: conn, pending: map[uint64]chan wire.Body{}, lastUsed: time.Now()}, nil
}

func (p *linkPool) writeFrame(conn *websocket.Conn, f wire.Frame) error {
	data, err := wire.Encode(&f, wire.MaxFrameBytes)
	if err != nil {
		return err
	}
	p.node.Traffic.SentBytes.Add(uint64(len(data)))
	p.node.Traffic.SentMessages.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func (p *linkPool) readFrame(ctx context.Context, conn *websocket.Conn) (wire.Frame, error) {
	var f wire.Frame
	_, data, err := conn.Read(ctx)
	if err != nil {
		return f, err
	}
	p.node.Traffic.ReceivedBytes.Add(uint64(len(data)))
	p.node.Traffic.ReceivedMessages.Add(1)
	return f, wire.Decode(data, wire.MaxFrameBytes, &f)
}

func (p *linkPool) readLoop(address string, l *link) {
	for {
		f, err := p.readFrame(context.Background(), l.conn)
		if err != nil {
			p.remove(address, l, err)
			return
		}
		l.deliver(f)
	}
}

func (p *linkPool) remove(address string, l *link, err error) {
	p.mu.Lock()
	if p.links[address] == l {
		delete(p.links, address)
	}
	p.mu.Unlock()
	l.fail(err)
	_ = l.conn.CloseNow()
}

// closeIdle closes the links that have no pending request and have been unused
// for longer than linkIdleTimeout.
func (p *linkPool) closeIdle(now time.Time) {
	p.mu.Lock()
	var idle []*link
	for a, l := range p.links {
		if now.Sub(l.lastUsed) > linkIdleTimeout && l.idle() {
			idle = append(idle, l)
			delete(p.links, a)
		}
	}
	p.mu.Unlock()
	for _, l := range idle {
		_ = l.conn.Close(websocket.StatusNormalClosure, "idle")
	}
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0
}

// register allocates an ID for a request and returns it with the channel that
// receives the response. The channel is closed if the connection fails.
func (l *link) register() (uint64, chan wire.Body, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return 0, nil, l.err
	}
	if len(l.pending) >= maxPendingRequests {
		return 0, nil, errors.New("too many pending requests on the connection")
	}
	l.lastID++
	reply := make(chan wire.Body, 1)
	l.pending[l.lastID] = reply
	return l.lastID, reply, nil
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliver passes a response to the request with the same ID. It drops the response
// if nothing waits for it any more.
func (l *link) deliver(f wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply, ok := l.pending[f.ID]; ok {
		delete(l.pending, f.ID)
		reply <- f.Body
	}
}

// fail makes all pending requests and all later ones fail.
func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
	for id, reply := range l.pending {
		delete(l.pending, id)
		close(reply)
	}
}

// Serve accepts connections from peers and responds to their requests until the
// context ends.
func (n *Node) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.config.Address)
	if err != nil {
		return rollout.Wrapf(err, "listen for peers on %s", n.config.Address)
	}
	mux := http.NewServeMux()
	mux.Handle(pathPeer, n.authenticated(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.accept(ctx, w, r) })))
	for path, h := range n.config.Handlers {
		mux.Handle(path, n.authenticated(h))
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	go n.closeIdleLinks(ctx)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return rollout.Wrapf(err, "serve peers")
	}
	return nil
}

func (n *Node) closeIdleLinks(ctx context.Context) {
	ticker := time.NewTicker(linkIdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.links.closeIdle(now)
		}
	}
}

// Authorize adds the proof of a key to a request to the peer at an address.
func (n *Node) Authorize(r *http.Request, address string) {
	r.Header.Set(headerProof, n.proof(address))
}

func (n *Node) proof(address string) string {
	return newProof(n.config.Keys[0], address, time.Now())
}

// authenticated returns a handler that rejects requests without the proof of a key.
func (n *Node) authenticated(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := verifyProof(n.config.Keys, n.config.Address, r.Header.Get(headerProof), time.Now()); err != nil {
			n.config.Logger.Write(event.PeerRejected, event.Fields{"From": r.RemoteAddr, "Error": err})
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(wire.MaxFrameBytes)
	n.serveConn(ctx, conn)
}

// serveConn serves one connection. It handles each request in its own goroutine,
// at most maxPendingRequests at once, and serializes the writes.
func (n *Node) serveConn(ctx context.Context, conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	semaphore := make(chan struct{}, maxPendingRequests)
	var writeMu sync.Mutex
	for {
		f, err := n.links.readFrame(ctx, conn)
		if err != nil {
			return
		}
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore }()
			body := n.config.HandleRequest(ctx, f.Body)
			writeMu.Lock()
			defer writeMu.Unlock()
			_ = n.links.writeFrame(conn, wire.Frame{ID: f.ID, Body: body})
		}()
	}
}
