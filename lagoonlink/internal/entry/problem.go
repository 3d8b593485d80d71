package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonlink.org/rollout"
)

func httpStatus(r rollout.Reason) int {
	switch r {
	case rollout.ReasonBadRequest:
		return http.StatusBadRequest
	case rollout.ReasonUnauthorized:
		return http.StatusUnauthorized
	case rollout.ReasonUnknownTarget, rollout.ReasonStepUnknown:
		return http.StatusNotFound
	case rollout.ReasonPullSuperseded, rollout.ReasonAlreadyRequested, rollout.ReasonIdentityUnknown:
		return http.StatusConflict
	case rollout.ReasonOverloaded, rollout.ReasonSuspect, rollout.ReasonLogLimited:
		return http.StatusTooManyRequests
	case rollout.ReasonDeadline:
		return http.StatusGatewayTimeout
	case rollout.ReasonServerFailed, rollout.ReasonTruncated:
		return http.StatusBadGateway
	case rollout.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

func newProblem(f *rollout.Failure) rollout.Problem {
	status := httpStatus(f.Reason)
	return rollout.Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  f.Detail,
		Verdict: f.Verdict.String(),
		Reason:  f.Reason,
	}
}

// writeProblem writes a problem document as the response, unless a streamed
// response has already started.
func (e *Entry) writeProblem(c *app.RequestContext, f *rollout.Failure) {
	if c.Response.GetHijackWriter() != nil {
		return
	}
	e.config.Metrics.Tagged(map[string]string{"reason": string(f.Reason), "verdict": f.Verdict.String()}).Counter("refusals").Inc(1)
	p := newProblem(f)
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	if f.RetryAfter > 0 {
		seconds := int((f.RetryAfter + time.Second - 1) / time.Second)
		c.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.Data(p.Status, "application/problem+json", body)
}
