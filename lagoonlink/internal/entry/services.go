package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/attempt"
	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/identity"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/peer"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/wire"
)

// issueIdentity issues an identity for a call that may be sent several times but
// must run at most once.
func (e *Entry) issueIdentity(_ context.Context, c *app.RequestContext, v *inforce.View) error {
	caller, err := identifyCaller(c, v)
	if err != nil {
		return err
	}
	id, err := e.config.Identities.Issue(time.Now(), caller.Name)
	if err != nil {
		return err
	}
	c.JSON(http.StatusOK, struct{ Identity string }{id.String()})
	return nil
}

func (e *Entry) handleServiceCall(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	caller, err := identifyCaller(c, v)
	if err != nil {
		return err
	}
	service, err := admitCall(caller, rollout.ServiceName(c.Param("service")), v)
	if err != nil {
		return err
	}
	idempotent, err := isIdempotent(c, service.Idempotent)
	if err != nil {
		return err
	}
	ctx, _, cancel, err := e.withDeadline(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	call := e.newCall(c)
	var response rollout.CallResponse
	if value := string(c.GetHeader(headerIdentity)); value != "" {
		response, err = e.callWithIdentity(ctx, value, caller, service, call)
	} else {
		response, err = e.callService(ctx, caller, service, call, idempotent)
	}
	if err != nil {
		return err
	}
	c.Data(response.Status, response.ContentType, response.Body)
	return nil
}

// admitCall returns the service of that name if the caller may use it.
func admitCall(caller rollout.Caller, name rollout.ServiceName, v *inforce.View) (rollout.Service, error) {
	service, ok := v.Configuration.FindService(name)
	if !ok {
		return rollout.Service{}, rollout.Refuse(rollout.ReasonUnknownTarget, "service %q is not declared", name)
	}
	if !slices.Contains(caller.Services, name) {
		return rollout.Service{}, rollout.Refuse(rollout.ReasonUnauthorized, "caller %s may not use service %s", caller.Name, name)
	}
	return service, nil
}

// newCall copies the body because the framework reuses the buffer.
func (e *Entry) newCall(c *app.RequestContext) rollout.Call {
	path := "/" + trimLeadingSlashes(c.Param("path"))
	if q := c.Request.URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return rollout.Call{
		Method:      string(c.Method()),
		Path:        path,
		ContentType: string(c.ContentType()),
		Body:        slices.Clone(c.Request.Body()),
		ID:          e.newRequestID(),
	}
}

func trimLeadingSlashes(path string) string {
	for len(path) > 0 && path[0] == '/' {
		path = path[1:]
	}
	return path
}

// callService queues a call, sends it to a server of the service, and retries it
// as far as the verdicts permit.
func (e *Entry) callService(ctx context.Context, caller rollout.Caller, s rollout.Service, call rollout.Call, idempotent bool) (rollout.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := dispatch.Request{
		Target:       dispatch.Target{Service: s.Name},
		Requirements: placement.Requirements{Class: rollout.ClassService},
		Tenant:       string(caller.Name),
		Share:        caller.Share,
		Deadline:     deadline,
		Fingerprint:  request.Fingerprint(xxh3.HashString(call.Method + "\x00" + call.Path + "\x00" + string(call.Body))),
	}
	var response rollout.CallResponse
	start := time.Now()
	err := e.runAttempts(ctx, request.Request{Idempotent: idempotent, Deadline: deadline}, req, func(ctx context.Context, a *attempt.Attempt) error {
		var err error
		response, err = a.Call(ctx, call)
		return err
	})
	e.observe(req, "request_seconds", time.Since(start))
	return response, err
}

// callWithIdentity runs a call with an identity, on this VM or on the one that
// issued the identity.
func (e *Entry) callWithIdentity(ctx context.Context, encoded string, caller rollout.Caller, s rollout.Service, call rollout.Call) (rollout.CallResponse, error) {
	id, err := identity.Parse(encoded)
	if err != nil {
		return rollout.CallResponse{}, rollout.Refuse(rollout.ReasonBadRequest, "%v", err)
	}
	if id.VM == e.config.VM {
		return e.RunIdentified(ctx, id, caller, s, call)
	}
	for _, m := range e.config.Peers.Members() {
		if m.Name == id.VM {
			return e.forwardToIssuer(ctx, m.Address, wire.RunIdentified{Identity: encoded, Service: s.Name, Caller: caller.Name, Call: call})
		}
	}
	f := rollout.Fail(rollout.MayHaveRun, rollout.ReasonIdentityUnknown, nil)
	return rollout.CallResponse{}, f.WithDetail("the identity was issued by VM %s, which is unknown; this request did not run, but an earlier one with the same identity may have run", id.VM)
}

func (e *Entry) forwardToIssuer(ctx context.Context, address string, run wire.RunIdentified) (rollout.CallResponse, error) {
	response, err := e.config.Peers.Call(ctx, address, wire.Body{Run: &run})
	if err != nil {
		// Even if this request certainly did not run, an earlier one with the same
		// identity may have run.
		f := *rollout.FailureOf(err)
		if f.Reason == rollout.ReasonPeerUnreachable {
			f.Verdict = rollout.MayHaveRun
		}
		return rollout.CallResponse{}, &f
	}
	if response.ServiceAnswer == nil {
		return rollout.CallResponse{}, peer.UnexpectedResponse()
	}
	// Older builds pass an invalid status of a service on.
	if err := httpclient.CheckStatus(response.ServiceAnswer.Status); err != nil {
		return rollout.CallResponse{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonServerFailed, err)
	}
	return *response.ServiceAnswer, nil
}

// RunIdentified runs a call with an identity that this VM issued. The call
// continues if the caller disconnects, so that a later request with the same
// identity gets its response.
func (e *Entry) RunIdentified(ctx context.Context, id identity.Identity, caller rollout.Caller, s rollout.Service, call rollout.Call) (rollout.CallResponse, error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	return e.config.Identities.Run(ctx, id, caller.Name, func() (rollout.CallResponse, error) {
		return e.callService(context.WithoutCancel(ctx), caller, s, call, false)
	})
}

// handleRunIdentified runs a call with an identity that a peer forwarded.
func (e *Entry) handleRunIdentified(ctx context.Context, r wire.RunIdentified) wire.Body {
	v, err := e.config.InForce.Require()
	if err != nil {
		return failureBody(err)
	}
	id, err := identity.Parse(r.Identity)
	if err != nil {
		return failureBody(rollout.Refuse(rollout.ReasonBadRequest, "%v", err))
	}
	for _, caller := range v.Configuration.Callers {
		if caller.Name != r.Caller {
			continue
		}
		service, err := admitCall(caller, r.Service, v)
		if err != nil {
			return failureBody(err)
		}
		response, err := e.RunIdentified(ctx, id, caller, service, r.Call)
		if err != nil {
			return failureBody(err)
		}
		return wire.Body{ServiceAnswer: &response}
	}
	return failureBody(rollout.Refuse(rollout.ReasonUnauthorized, "caller %q is not declared", r.Caller))
}
