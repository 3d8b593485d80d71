package attempt

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/semaphore"

	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
)

const (
	// bodyTimeout limits the time in which the body of an attempt arrives.
	bodyTimeout = 5 * time.Second
	// writeTimeout limits a write to another VM that doesn't read.
	writeTimeout = 10 * time.Second
	// memoryRetryAfter is the retry delay if there is no memory for an attempt.
	memoryRetryAfter = time.Second
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Maker makes the attempts, on this VM only.
	Maker *Maker
	// Control gives orders to engines.
	Control *Control
	InForce *inforce.Holder
	// IsolatedNow reports whether this VM was last found to reach no server.
	IsolatedNow func() bool
	// MaxBytes limits the bodies of attempts and of responses that are held together.
	MaxBytes int64
}

// Server makes attempts for other VMs. It is an http.Handler for Path, whose callers are
// authenticated.
type Server struct {
	config  ServerConfig
	memory  *semaphore.Weighted
	leaving atomic.Bool
	active  atomic.Int64
}

// NewServer returns a Server.
func NewServer(c ServerConfig) *Server {
	return &Server{config: c, memory: semaphore.NewWeighted(c.MaxBytes)}
}

// Leave refuses further attempts.
func (s *Server) Leave() { s.leaving.Store(true) }

// Active returns the number of attempts in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// ServeHTTP answers the question of another VM or makes an attempt for it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if r.Method == http.MethodGet {
		write(w, &answer{Reaches: !s.config.IsolatedNow(), Leaving: s.leaving.Load()}, nil)
		return
	}
	held := &holding{memory: s.memory}
	defer held.release()
	head, body, err := s.read(w, r, held)
	ctx, cancel := withTimeLeft(r.Context(), head.TimeLeft)
	defer cancel()
	if err == nil {
		err = s.admit(&head)
	}
	if err == nil && s.config.Maker.config.Reach.Isolated(ctx) {
		write(w, &responseHead{Isolated: true, Failure: hop.NewFailure(errNobodyReaches())}, nil)
		return
	}
	if err != nil {
		write(w, &responseHead{Failure: hop.NewFailure(err)}, nil)
		return
	}
	if head.Control != nil {
		s.control(ctx, w, *head.Control)
		return
	}
	deadline, _ := ctx.Deadline()
	a, err := s.config.Maker.beginHere(ctx, head.request(deadline))
	if err != nil {
		write(w, &responseHead{Failure: hop.NewFailure(err)}, nil)
		return
	}
	if head.Call != nil {
		head.Call.Body = body
		s.call(ctx, w, a, *head.Call, held)
		return
	}
	s.generate(ctx, w, a, body)
}

// withTimeLeft returns a context that ends after a time in milliseconds; 0 means no limit.
func withTimeLeft(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	if ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// admit refuses an attempt that this VM may not make.
func (s *Server) admit(head *requestHead) error {
	if s.leaving.Load() {
		return rollout.Refuse(rollout.ReasonDraining, "the VM is stopping")
	}
	v, err := s.config.InForce.Require()
	if err != nil {
		return err
	}
	if v.Version < head.Version {
		return rollout.Refuse(rollout.ReasonConfigurationOutdated, "the VM has version %d of the configuration, older than %d", v.Version, head.Version)
	}
	return nil
}

// read reads an attempt into memory that it holds first.
func (s *Server) read(w http.ResponseWriter, r *http.Request, held *holding) (requestHead, []byte, error) {
	var head requestHead
	if r.ContentLength < 0 {
		return head, nil, rollout.Refuse(rollout.ReasonBadRequest, "expected a body of known length")
	}
	if err := held.replace(r.ContentLength); err != nil {
		return head, nil, err
	}
	control := http.NewResponseController(w)
	message := make([]byte, r.ContentLength)
	err := control.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err == nil {
		_, err = io.ReadFull(r.Body, message)
	}
	if err != nil {
		return head, nil, rollout.Refuse(rollout.ReasonBadRequest, "read an attempt: %v", err)
	}
	// The connection is watched for its end from now on.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return head, nil, rollout.Refuse(rollout.ReasonInternal, "%v", err)
	}
	body, err := hop.SplitHead(message, &head)
	if err != nil {
		return head, nil, rollout.Refuse(rollout.ReasonBadRequest, "%v", err)
	}
	return head, body, nil
}

func (s *Server) call(ctx context.Context, w http.ResponseWriter, a *Attempt, c rollout.Call, held *holding) {
	response, err := a.Call(ctx, c)
	a.End(ctx, err)
	if err == nil {
		if heldErr := held.replace(int64(len(response.Body))); heldErr != nil {
			// A server has answered, whatever the refusal of memory says.
			err = rollout.Fail(rollout.MayHaveRun, rollout.ReasonOverloaded, heldErr)
		}
	}
	if err != nil {
		write(w, &responseHead{Server: a.Server(), Failure: hop.NewFailure(err)}, nil)
		return
	}
	write(w, &responseHead{Server: a.Server(), Status: response.Status, ContentType: response.ContentType}, response.Body)
}

func (s *Server) control(ctx context.Context, w http.ResponseWriter, q control) {
	_, server, err := s.config.Control.find(q.Address)
	answer := responseHead{Server: server.Name}
	if err == nil {
		answer.Load, err = s.config.Control.runHere(ctx, server, q)
	}
	if err != nil {
		answer.Failure = hop.NewFailure(err)
	}
	write(w, &answer, nil)
}

func (s *Server) generate(ctx context.Context, w http.ResponseWriter, a *Attempt, body []byte) {
	var g rollout.Generation
	if err := cbor.Unmarshal(body, &g); err != nil {
		err = rollout.Refuse(rollout.ReasonBadRequest, "decode a generation: %v", err)
		a.End(ctx, err)
		write(w, &responseHead{Failure: hop.NewFailure(err)}, nil)
		return
	}
	reader, err := a.Generate(ctx, g)
	if err != nil {
		a.End(ctx, err)
		write(w, &responseHead{Server: a.Server(), Failure: hop.NewFailure(err)}, nil)
		return
	}
	control := http.NewResponseController(w)
	write(w, &responseHead{Server: a.Server()}, nil)
	err = copyPieces(reader, func(p rollout.Piece) error {
		return writePiece(w, control, &pieceHead{Text: p.Text, Tokens: p.Tokens, Version: p.Version, Finish: p.Finish})
	})
	_ = reader.Close()
	a.End(ctx, err)
	last := &pieceHead{End: true}
	if err != nil {
		last = &pieceHead{Failure: hop.NewFailure(err)}
	}
	if writePiece(w, control, last) != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyPieces passes the pieces of a generation on until its end.
func copyPieces(r rollout.PieceReader, send func(rollout.Piece) error) error {
	for {
		p, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = send(p)
		}
		if err != nil {
			return err
		}
	}
}

// writePiece sends a piece at once. Its error means that the other VM has left.
func writePiece(w http.ResponseWriter, control *http.ResponseController, p *pieceHead) error {
	message, err := hop.EncodeHead(p, maxPieceBytes)
	if err == nil {
		err = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if err == nil {
		_, err = w.Write(message)
	}
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		return rollout.Fail(rollout.MayHaveRun, rollout.ReasonCanceled, err)
	}
	return nil
}

// write sends a head and a body. What can't be sent whole is broken off, so that it doesn't
// look complete.
func write(w http.ResponseWriter, head hop.Head, body []byte) {
	control := http.NewResponseController(w)
	message, err := hop.EncodeHead(head, hop.MaxHeadBytes)
	if err == nil {
		err = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if err == nil {
		_, err = w.Write(message)
	}
	if err == nil {
		_, err = w.Write(body)
	}
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// holding is the memory of one attempt.
type holding struct {
	memory *semaphore.Weighted
	bytes  int64
}

// replace replaces the holding by one of n bytes, or refuses.
func (h *holding) replace(n int64) error {
	h.release()
	if !h.memory.TryAcquire(n) {
		return rollout.Refuse(rollout.ReasonOverloaded, "no memory for %d bytes of another VM", n).WithRetryAfter(memoryRetryAfter)
	}
	h.bytes = n
	return nil
}

func (h *holding) release() {
	h.memory.Release(h.bytes)
	h.bytes = 0
}
