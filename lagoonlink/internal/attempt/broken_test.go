package attempt

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/dispatch"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/httpclient/standin"
	"lagoonlink.org/rollout/isolation"
)

// newClientOf returns a Client that knows one other VM, which is not asked.
func newClientOf(address string) *Client {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := NewClient(ClientConfig{
		Zone: "z", HTTP: httpclient.New(httpclient.Config{ConnectTimeout: time.Second}), Authorize: func(*http.Request, string) {}, Silence: 5 * time.Second,
		InForce: &inforce.Holder{}, Logger: event.NewLogger(log), Metrics: tally.NoopScope,
	})
	c.known, c.askedAt = []isolation.Peer{{VM: "b", Zone: "z", Address: address, Reaches: true}}, time.Now().Add(time.Minute)
	return c
}

func encode(t *testing.T, heads ...hop.Head) (out string) {
	t.Helper()
	for _, head := range heads {
		data, err := hop.EncodeHead(head, hop.MaxHeadBytes)
		assert.NoError(t, "encode", err)
		out += string(data)
	}
	return out
}

func wholeResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func callThrough(t *testing.T, address string, upload []byte) error {
	t.Helper()
	response, _, err := newClientOf(address).call(t.Context(), dispatch.Request{Target: dispatch.Target{Service: "s"}}, rollout.Call{ID: "1", Method: "POST", Path: "/", Body: upload})
	if err == nil {
		assert.Equal(t, "body", string(response.Body), "body")
	}
	return err
}

func generateThrough(t *testing.T, address string, prompt []byte) error {
	t.Helper()
	r, _, err := newClientOf(address).generate(t.Context(), dispatch.Request{Target: dispatch.Target{Pool: "p"}}, rollout.Generation{ID: "1", Prompt: string(prompt)})
	if err != nil {
		return err
	}
	defer r.Close()
	for {
		if _, err := r.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func TestBrokenResponsesOfVMs(t *testing.T) {
	call := encode(t, &responseHead{Server: "s0", Status: 200}) + "body"
	t.Run("a call", func(t *testing.T) {
		standin.CheckBrokenHeads(t, wholeResponse(call), func(t *testing.T, address string) error { return callThrough(t, address, nil) })
		standin.CheckUploads(t, "HTTP/1.1 200 OK", call, callThrough)
	})
	t.Run("a generation", func(t *testing.T) {
		pieces := encode(t, &responseHead{Server: "s0"}, &pieceHead{Text: "a", Tokens: 1, Finish: "stop"}, &pieceHead{End: true})
		standin.CheckBrokenHeads(t, wholeResponse(pieces), func(t *testing.T, address string) error { return generateThrough(t, address, nil) })
		cut := pieces[:len(pieces)-len(encode(t, &pieceHead{End: true}))]
		for _, ending := range []standin.Ending{standin.Reset, standin.ReadOn} {
			s := standin.EarlyServer{Response: "HTTP/1.1 200 OK\r\n\r\n" + cut, Delay: 5 * time.Millisecond, Ending: ending}
			err := generateThrough(t, s.Start(t), make([]byte, standin.UploadBytes))
			assert.Equal(t, "reason", rollout.FailureOf(err).Reason, rollout.ReasonTruncated)
			assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
		}
	})
	t.Run("an order", func(t *testing.T) {
		standin.CheckBrokenHeads(t, wholeResponse(encode(t, &responseHead{Server: "s0"})), func(t *testing.T, address string) error {
			_, err := newClientOf(address).control(t.Context(), "p", control{Address: "e", Order: &rollout.Order{Model: "m", Version: 1}})
			return err
		})
	})
	t.Run("the question whether a VM reaches servers", func(t *testing.T) {
		standin.CheckBrokenHeads(t, wholeResponse(encode(t, &answer{Reaches: true})), func(t *testing.T, address string) error {
			if !newClientOf(address).ask(t.Context(), address) {
				return errors.New("not known to reach servers")
			}
			return nil
		})
	})
}

// TestInvalidStatusFromOlderBuilds guards against a status of a service that this build rejects
// and an older one passes on.
func TestInvalidStatusFromOlderBuilds(t *testing.T) {
	for status, valid := range map[int]bool{0: false, 99: false, 101: false, 200: true, 500: true, 999: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			err := callThrough(t, standin.Respond(t, wholeResponse(encode(t, &responseHead{Server: "s0", Status: status})+"body")), nil)
			assert.Equal(t, "accepted", err == nil, valid)
			if err != nil {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
			}
		})
	}
}
