package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/identity"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/lagoonlink/internal/peer"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/placement"
	"lagoonlink.org/rollout/request"
	"lagoonlink.org/rollout/wire"
)

// identities mints an identity for a call that may be sent again but must not
// run twice.
func (e *Entry) identities(_ context.Context, c *app.RequestContext, v *inforce.View) error {
	caller, err := identifyCaller(c, v)
	if err != nil {
		return err
	}
	id, err := e.config.Mint.New(time.Now(), caller.Name)
	if err != nil {
		return err
	}
	c.JSON(http.StatusOK, struct{ Identity string }{id.String()})
	return nil
}

// services serves a call of a plain service.
func (e *Entry) services(ctx context.Context, c *app.RequestContext, v *inforce.View) error {
	caller, err := identifyCaller(c, v)
	if err != nil {
		return err
	}
	service, err := admitCall(caller, rollout.ServiceName(c.Param("service")), v)
	if err != nil {
		return err
	}
	repeatable, err := idempotent(c, service.Idempotent)
	if err != nil {
		return err
	}
	ctx, _, cancel, err := e.deadline(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	call := e.callOf(c)
	var answer rollout.CallAnswer
	if text := string(c.GetHeader(headerIdentity)); text != "" {
		answer, err = e.runIdentified(ctx, text, caller, service, call)
	} else {
		answer, err = e.call(ctx, caller, service, call, repeatable)
	}
	if err != nil {
		return err
	}
	c.Data(answer.Status, answer.ContentType, answer.Body)
	return nil
}

// admitCall returns the service, if the caller may use it.
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

func (e *Entry) callOf(c *app.RequestContext) rollout.Call {
	path := "/" + trimSlash(c.Param("path"))
	if q := c.Request.URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return rollout.Call{
		Method:      string(c.Method()),
		Path:        path,
		ContentType: string(c.ContentType()),
		Body:        slices.Clone(c.Request.Body()),
		ID:          e.newID(),
	}
}

func trimSlash(path string) string {
	for len(path) > 0 && path[0] == '/' {
		path = path[1:]
	}
	return path
}

// call runs a call through the queue, with retries as the verdicts allow.
func (e *Entry) call(ctx context.Context, caller rollout.Caller, s rollout.Service, call rollout.Call, repeatable bool) (rollout.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	end, _ := ctx.Deadline()
	ask := dispatch.Ask{
		Target:      dispatch.Target{Service: s.Name},
		Want:        placement.Want{Class: rollout.ClassService},
		Tenant:      string(caller.Name),
		Share:       caller.Share,
		Deadline:    end,
		Fingerprint: request.Fingerprint(xxh3.HashString(call.Method + "\x00" + call.Path + "\x00" + string(call.Body))),
	}
	var answer rollout.CallAnswer
	begun := time.Now()
	err := e.attempts(ctx, request.Request{Idempotent: repeatable, Deadline: end}, ask, func(ctx context.Context, grant *dispatch.Grant) (dispatch.Result, error) {
		var r dispatch.Result
		sent := time.Now()
		var err error
		answer, err = e.config.Service.Call(ctx, grant.Server.Address, call)
		r.Outcome = callOutcome(ctx, err, time.Since(sent))
		r.Broken = r.Failed && rollout.VerdictOf(err) == rollout.MayHaveRun
		return r, err
	})
	e.observe(ask, "request_seconds", time.Since(begun))
	return answer, err
}

func callOutcome(ctx context.Context, err error, took time.Duration) placement.Outcome {
	if err == nil {
		return placement.Outcome{PerUnit: took.Seconds()}
	}
	if isCanceled(ctx) {
		return placement.Outcome{}
	}
	f := rollout.FailureOf(err)
	return placement.Outcome{
		Failed:  f.Reason != rollout.ReasonDraining && f.Reason != rollout.ReasonServerRefused,
		Refused: f.Reason == rollout.ReasonServerRefused,
		Leaving: f.Reason == rollout.ReasonDraining,
	}
}

// runIdentified runs a call under an identity, here or on the VM that minted it.
func (e *Entry) runIdentified(ctx context.Context, text string, caller rollout.Caller, s rollout.Service, call rollout.Call) (rollout.CallAnswer, error) {
	id, err := identity.Parse(text)
	if err != nil {
		return rollout.CallAnswer{}, rollout.Refuse(rollout.ReasonBadRequest, "%v", err)
	}
	if id.VM == e.config.VM {
		return e.RunMinted(ctx, id, caller, s, call)
	}
	for _, m := range e.config.Peers.Members() {
		if m.Name == id.VM {
			return e.askMinter(ctx, m.Address, wire.RunIdentified{Identity: text, Service: s.Name, Caller: caller.Name, Call: call})
		}
	}
	f := rollout.Fail(rollout.MayHaveRun, rollout.ReasonIdentityUnknown, nil)
	return rollout.CallAnswer{}, f.WithDetail("VM %s is not known here; this request was not run, an earlier one may have", id.VM)
}

func (e *Entry) askMinter(ctx context.Context, address string, run wire.RunIdentified) (rollout.CallAnswer, error) {
	answer, err := e.config.Peers.Ask(ctx, address, wire.Body{Run: &run})
	if err != nil {
		// An earlier request of the identity may have run, whatever became of
		// this one.
		f := *rollout.FailureOf(err)
		if f.Reason == rollout.ReasonPeerUnreachable {
			f.Verdict = rollout.MayHaveRun
		}
		return rollout.CallAnswer{}, &f
	}
	if answer.ServiceAnswer == nil {
		return rollout.CallAnswer{}, peer.WrongAnswer()
	}
	return *answer.ServiceAnswer, nil
}

// RunMinted runs a call under an identity that this VM minted. The run goes on
// when the caller that began it goes away, so that its answer can be given to
// the next.
func (e *Entry) RunMinted(ctx context.Context, id identity.Identity, caller rollout.Caller, s rollout.Service, call rollout.Call) (rollout.CallAnswer, error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	return e.config.Mint.Run(ctx, id, caller.Name, func() (rollout.CallAnswer, error) {
		return e.call(context.WithoutCancel(ctx), caller, s, call, false)
	})
}

// handleRun runs an identified call that a peer passed on.
func (e *Entry) handleRun(ctx context.Context, r wire.RunIdentified) wire.Body {
	v, err := e.config.InForce.Require()
	if err != nil {
		return failure(err)
	}
	id, err := identity.Parse(r.Identity)
	if err != nil {
		return failure(rollout.Refuse(rollout.ReasonBadRequest, "%v", err))
	}
	for _, caller := range v.Configuration.Callers {
		if caller.Name != r.Caller {
			continue
		}
		service, err := admitCall(caller, r.Service, v)
		if err != nil {
			return failure(err)
		}
		answer, err := e.RunMinted(ctx, id, caller, service, r.Call)
		if err != nil {
			return failure(err)
		}
		return wire.Body{ServiceAnswer: &answer}
	}
	return failure(rollout.Refuse(rollout.ReasonUnauthorized, "caller %q is not declared", r.Caller))
}
