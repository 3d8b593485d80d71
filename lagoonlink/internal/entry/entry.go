// Package entry implements the HTTP API for callers and trainers. Every request
// passes through the same stages in order: accept, identify, admit, queue and
// place (package dispatch), send, relay the response, report the result. Each
// stage either passes the request to the next one or rejects it with a verdict,
// which is returned as a problem document.
//
// Invariants: a request uses one configuration from start to end; once the first
// byte of a response has been sent, the response ends with its end marker or with
// an explicit error; a request marked as non-idempotent is retried only if it
// certainly did not run.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/attempt"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/holder"
	"lagoonlink.org/lagoonlink/internal/identity"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/wire"
)

// Peers is the part of peer.Node that Entry uses.
type Peers interface {
	Roster() membership.Roster
	Members() []membership.Member
	Call(ctx context.Context, address string, b wire.Body) (wire.Body, error)
}

// Config configures an Entry.
type Config struct {
	VM           rollout.VMName
	Address      string
	MaxBodyBytes int
	// RequestTimeout is the maximum duration of a request.
	RequestTimeout time.Duration
	InForce        *inforce.Holder
	Attempts       *attempt.Maker
	Holder         *holder.Holder
	Peers          Peers
	Identities     *identity.Issuer
	Logger         *event.Logger
	Metrics        tally.Scope
}

// Request headers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerIdempotent is "true" or "false" and overrides whether the target is
	// declared as idempotent.
	headerIdempotent = "Lagoonlink-Idempotent"
	// headerIdentity carries an identity issued by an entry VM.
	headerIdentity = "Lagoonlink-Identity"
	// headerTimeout limits the duration of the request, in milliseconds.
	headerTimeout = "Lagoonlink-Timeout-Milliseconds"
)

// writeTimeout bounds a write to a caller that does not read its response.
const writeTimeout = 30 * time.Second

// Entry is the HTTP server for callers and trainers.
type Entry struct {
	config   Config
	server   *server.Hertz
	draining atomic.Bool
	active   atomic.Int64
	ids      atomic.Uint64

	budgetMu sync.Mutex
	budget   *request.Budget
}

// New returns an Entry; Run starts listening.
func New(c Config) *Entry {
	e := &Entry{config: c, budget: request.NewBudget()}
	h := server.New(
		server.WithHostPorts(c.Address),
		server.WithMaxRequestBodySize(c.MaxBodyBytes),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithWriteTimeout(writeTimeout),
		server.WithExitWaitTime(time.Second),
	)
	h.Use(e.accept)
	h.POST("/v1/completions", e.handler(e.handleCompletion))
	h.POST("/v1/identities", e.handler(e.issueIdentity))
	h.Any("/services/:service/*path", e.handler(e.handleServiceCall))
	h.PUT("/v1/trainers/:trainer/steps/:step", e.handler(e.openStep))
	h.POST("/v1/trainers/:trainer/steps/:step/pull", e.handler(e.pullStep))
	h.DELETE("/v1/trainers/:trainer/steps/:step", e.handler(e.closeStep))
	e.server = h
	return e
}

// Run serves requests until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- e.server.Run() }()
	select {
	case err := <-failed:
		return rollout.Wrapf(err, "listen for callers on %s", e.config.Address)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	return e.server.Shutdown(shutdownCtx)
}

// Drain makes the server reject all new requests.
func (e *Entry) Drain() { e.draining.Store(true) }

// Active returns the number of requests in progress.
func (e *Entry) Active() int { return int(e.active.Load()) }

// accept is the middleware that counts requests in progress and rejects new ones
// while the VM is draining.
func (e *Entry) accept(ctx context.Context, c *app.RequestContext) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.draining.Load() {
		c.Response.Header.Set("Connection", "close")
		e.writeProblem(c, rollout.Refuse(rollout.ReasonDraining, "this entry VM is shutting down").WithRetryAfter(time.Second))
		c.Abort()
		return
	}
	c.Next(ctx)
}

// handler adapts h to an HTTP handler. It passes the configuration in force to h
// and writes an error of h as a problem document.
func (e *Entry) handler(h func(context.Context, *app.RequestContext, *inforce.View) error) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		v, err := e.config.InForce.Require()
		if err == nil {
			err = h(ctx, c, v)
		}
		if err != nil {
			e.writeProblem(c, rollout.FailureOf(err))
		}
	}
}

func bearerTokenHash(c *app.RequestContext) (string, error) {
	token, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok || token == "" {
		return "", rollout.Refuse(rollout.ReasonUnauthorized, "expected a bearer token")
	}
	return inforce.HashToken(token), nil
}

func identifyCaller(c *app.RequestContext, v *inforce.View) (rollout.Caller, error) {
	hash, err := bearerTokenHash(c)
	if err != nil {
		return rollout.Caller{}, err
	}
	caller, ok := v.Configuration.CallerByToken(hash)
	if !ok {
		return rollout.Caller{}, rollout.Refuse(rollout.ReasonUnauthorized, "the token does not belong to a declared caller")
	}
	return caller, nil
}

// identifyTrainer returns the trainer whose token authenticates the request. It
// must be the trainer named in the path.
func identifyTrainer(c *app.RequestContext, v *inforce.View) (rollout.Trainer, error) {
	hash, err := bearerTokenHash(c)
	if err != nil {
		return rollout.Trainer{}, err
	}
	t, ok := v.Configuration.TrainerByToken(hash)
	if !ok || string(t.Name) != c.Param("trainer") {
		return rollout.Trainer{}, rollout.Refuse(rollout.ReasonUnauthorized, "the token does not belong to trainer %q", c.Param("trainer"))
	}
	return t, nil
}

// withDeadline returns the context of a request and its deadline: the timeout that
// the caller requested, but at most RequestTimeout.
func (e *Entry) withDeadline(ctx context.Context, c *app.RequestContext) (context.Context, time.Time, context.CancelFunc, error) {
	timeout := e.config.RequestTimeout
	if value := string(c.GetHeader(headerTimeout)); value != "" {
		ms, err := strconv.Atoi(value)
		if err != nil || ms < 1 {
			return nil, time.Time{}, nil, rollout.Refuse(rollout.ReasonBadRequest, "%s: got %q, expected a positive number of milliseconds", headerTimeout, value)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, deadline, cancel, nil
}

// isIdempotent reports whether the request may run more than once. Without an
// explicit header, a declaration or an idempotency key suffices.
func isIdempotent(c *app.RequestContext, declared bool) (bool, error) {
	switch value := string(c.GetHeader(headerIdempotent)); value {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return declared || len(c.GetHeader(headerIdempotencyKey)) > 0, nil
	default:
		return false, rollout.Refuse(rollout.ReasonBadRequest, "%s: got %q, expected true or false", headerIdempotent, value)
	}
}

// newRequestID returns a request identifier that is unique in the deployment.
func (e *Entry) newRequestID() string {
	return string(e.config.VM) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(e.ids.Add(1), 36)
}

// runAttempts makes attempts until one succeeds or the retry policy of package
// request stops. Each attempt calls run.
func (e *Entry) runAttempts(ctx context.Context, r request.Request, req dispatch.Request, run func(context.Context, *attempt.Attempt) error) error {
	e.withBudget(func(b *request.Budget) { b.Deposit() })
	for {
		req.Requirements.Avoid = r.Avoid
		server, begun, err := e.attempt(ctx, req, run)
		if err == nil {
			return nil
		}
		f := rollout.FailureOf(err)
		if f.Reason != rollout.ReasonCanceled {
			e.config.Logger.Write(event.RequestFailed, event.Fields{"Server": server, "Tenant": req.Tenant, "Attempt": r.Attempts + 1, "Error": err})
		}
		if !begun {
			// Nothing took the request, so the rejection goes to the caller. Package attempt has
			// already handled the case that every server of a pool was tried.
			return r.Final(f)
		}
		var d request.Decision
		e.withBudget(func(b *request.Budget) { r, d = r.Failed(time.Now(), server, f, b, rand.Float64()) })
		if !d.Retry {
			return d.Failure
		}
		if !sleep(ctx, d.Wait) {
			return r.Final(rollout.Fail(f.Verdict, rollout.ReasonDeadline, f))
		}
	}
}

// attempt makes one attempt. It returns the server, if that is known, and whether the attempt
// has begun.
func (e *Entry) attempt(ctx context.Context, req dispatch.Request, run func(context.Context, *attempt.Attempt) error) (server rollout.ServerName, begun bool, err error) {
	queued := time.Now()
	a, err := e.config.Attempts.Begin(ctx, req)
	if err != nil {
		return "", false, err
	}
	e.observe(req, "queue_seconds", time.Since(queued))
	err = run(ctx, a)
	a.End(ctx, err)
	return a.Server(), !a.Refused(), err
}

// latencyBuckets are upper bounds; the metrics report them in seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 20)

func (e *Entry) observe(req dispatch.Request, name string, latency time.Duration) {
	tags := map[string]string{"tenant": req.Tenant, "class": req.Requirements.Class.String()}
	e.config.Metrics.Tagged(tags).Histogram(name, latencyBuckets).RecordDuration(latency)
}

func (e *Entry) withBudget(f func(*request.Budget)) {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	f(e.budget)
}

// sleep waits for d and reports whether it elapsed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isCanceled reports whether the context was canceled, which happens when the
// caller disconnects.
func isCanceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
