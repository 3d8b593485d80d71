package forwarding_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"lagoonlink.org/lagoonlink/internal/forwarding"
	"lagoonlink.org/lagoonlink/internal/hop"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/httpclient/standin"
)

// passedHead is the head of a response as older builds encode it, without a check.
type passedHead struct {
	Status   int
	Header   []rollout.HeaderField
	Streamed bool
}

func (*passedHead) Check() error { return nil }

// message returns the body of a VM's response.
func message(t *testing.T, head passedHead, body string) string {
	t.Helper()
	data, err := hop.EncodeHead(&head, hop.MaxHeadBytes)
	assert.NoError(t, "encode", err)
	return string(data) + body
}

func wholeResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// forward passes a request to the VM at an address and reads the response to its end.
func forward(t *testing.T, address string, upload []byte) error {
	t.Helper()
	client := forwarding.NewClient(forwarding.ClientConfig{HTTP: httpclient.New(httpclient.Config{ConnectTimeout: time.Second})})
	response, err := client.Forward(t.Context(), rollout.PeerVM{Name: "b", Address: address}, rollout.ForwardedRequest{ID: "1", Method: "POST", Target: "/x", Body: upload}, 1)
	if err != nil || response.Stream == nil {
		return err
	}
	defer response.Stream.Close()
	_, err = io.Copy(io.Discard, response.Stream)
	return err
}

func TestBrokenResponsesOfVMs(t *testing.T) {
	for name, streamed := range map[string]bool{"a response": false, "a stream": true} {
		t.Run(name, func(t *testing.T) {
			body := message(t, passedHead{Status: 200, Streamed: streamed}, "body")
			standin.CheckBrokenHeads(t, wholeResponse(body), func(t *testing.T, address string) error { return forward(t, address, nil) })
			standin.CheckUploads(t, "HTTP/1.1 200 OK", body, forward)
		})
	}
}

// TestInvalidHeadsFromOlderBuilds guards against heads of servers that this build rejects and
// an older one passes on.
func TestInvalidHeadsFromOlderBuilds(t *testing.T) {
	field := func(name string) []rollout.HeaderField { return []rollout.HeaderField{{Name: name, Value: "1"}} }
	for name, c := range map[string]struct {
		head  passedHead
		valid bool
	}{
		"a success":             {passedHead{Status: 200, Header: field("X-Load")}, true},
		"a failure":             {passedHead{Status: 500}, true},
		"the status 000":        {passedHead{}, false},
		"the status 101":        {passedHead{Status: 101}, false},
		"the status 999":        {passedHead{Status: 999}, false},
		"a blank within a name": {passedHead{Status: 200, Header: field("X Load")}, false},
		"a blank after a name":  {passedHead{Status: 200, Header: field("X-Load ")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := forward(t, standin.Respond(t, wholeResponse(message(t, c.head, "body"))), nil)
			assert.Equal(t, "accepted", err == nil, c.valid)
			if err != nil {
				assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
			}
		})
	}
}
