package forwarding

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonlink/internal/admission"
	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/requestbody"
)

const (
	// defaultMaxBodyBytes limits callers' bodies while no operator's limit is known.
	defaultMaxBodyBytes = 32 << 20
	headerTimeout       = 2 * time.Second
	// maxHeaderBytes limits the HTTP header, which holds nothing of the caller's request.
	maxHeaderBytes = 4 << 10
	// idleTimeout is above the time for which other VMs keep idle connections, so that they
	// never send a request on one that this VM closes.
	idleTimeout = time.Minute
)

// Requests runs requests at backend servers.
type Requests interface {
	Route(host, target string) (rollout.Route, error)
	Limits() rollout.CallerLimits
	Serve(ctx context.Context, request rollout.ForwardedRequest, route rollout.Route, wait time.Duration) (rollout.ForwardedResponse, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Address  string
	InForce  *inforce.Holder
	Requests Requests
	// Admission bounds the memory of requests, responses and connections.
	Admission *admission.Controller
}

// Server takes requests of other VMs.
type Server struct {
	config ServerConfig
	http   *http.Server
	// leaving is set when requests are refused because this VM is stopping.
	leaving atomic.Bool
	// stopped is closed when Shutdown or Close has returned.
	stopped  chan struct{}
	stopOnce sync.Once
}

// NewServer returns a Server that is not listening yet.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c, stopped: make(chan struct{})}
	s.http = &http.Server{
		Addr: c.Address, Handler: c.Admission.Handler(http.HandlerFunc(s.handle)),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: c.Admission.ConnContext, ConnState: c.Admission.ConnState,
	}
	return s
}

// Serve takes requests until Shutdown or Close, and returns when the context has ended, or
// when it can't listen.
func (s *Server) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", s.http.Addr)
	if err != nil {
		return err
	}
	if err := s.http.Serve(s.config.Admission.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// Stopped returns a channel that is closed when Shutdown or Close has returned.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Leave refuses further requests.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown refuses further requests and waits for those in progress until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.stop()
	s.Leave()
	return s.http.Shutdown(ctx)
}

// Close closes all connections.
func (s *Server) Close() error {
	defer s.stop()
	return s.http.Close()
}

func (s *Server) stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path {
		http.NotFound(w, r)
		return
	}
	response, err := s.serve(r)
	if err == nil && response.Stream == nil {
		if memoryErr := s.config.Admission.Respond(r.Context(), len(response.Body)); memoryErr != nil {
			// A server has answered, whatever the refusal of memory says.
			err = rollout.Fail(rollout.MayHaveRun, rollout.ReasonOverloaded, memoryErr)
		}
	}
	head := responseHead{Status: response.Status, Header: response.Header, Streamed: response.Stream != nil}
	if err != nil {
		head, response = responseHead{Failure: hop.NewFailure(err)}, rollout.ForwardedResponse{}
	}
	message, err := hop.EncodeHead(&head, hop.MaxHeadBytes)
	if err == nil {
		_, err = w.Write(message)
	}
	if response.Stream == nil && err == nil {
		_, err = w.Write(response.Body)
	}
	if response.Stream != nil && err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		if response.Stream != nil {
			_ = response.Stream.Close()
		}
		// What was written must not look complete.
		panic(http.ErrAbortHandler)
	}
	if response.Stream != nil {
		httpclient.CopyStream(w, response.Stream)
	}
}

// serve runs a request unless this VM may not.
func (s *Server) serve(r *http.Request) (rollout.ForwardedResponse, error) {
	limit := s.config.Requests.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	message, err := requestbody.Read(r, limit+hop.MaxHeadBytes+hop.LengthBytes, s.config.Admission)
	if err != nil {
		return rollout.ForwardedResponse{}, err
	}
	if s.leaving.Load() {
		return rollout.ForwardedResponse{}, rollout.Refuse(rollout.ReasonDraining, "the VM is stopping")
	}
	var head requestHead
	body, err := hop.SplitHead(message, &head)
	if err != nil {
		return rollout.ForwardedResponse{}, rollout.Refuse(rollout.ReasonPeerUnreachable, "%v", err)
	}
	v, err := s.config.InForce.Require()
	if err != nil {
		return rollout.ForwardedResponse{}, err
	}
	if v.Routes == nil || v.Routes.Version() < head.Version {
		return rollout.ForwardedResponse{}, rollout.Refuse(rollout.ReasonConfigurationOutdated, "the VM has an older configuration than version %d", head.Version)
	}
	route, err := s.config.Requests.Route(head.Host, head.Target)
	if err != nil {
		return rollout.ForwardedResponse{}, err
	}
	return s.config.Requests.Serve(r.Context(), rollout.ForwardedRequest{
		ID: head.ID, Method: head.Method, Host: head.Host, Target: head.Target, Header: head.Header, Body: body,
		Resumed: head.Resumed, Resumes: head.Resumes, Tenant: head.Tenant, FromPeer: true, MaxAttempts: head.MaxAttempts, Counted: head.Counted,
	}, route, time.Duration(head.TimeLeft)*time.Millisecond)
}
