package trainer

import (
	"testing"

	"lagoonlink.org/rollout/httpclient/standin"
)

func newClient(address string) *Client {
	return NewClient(Config{Entries: func() []string { return []string{address} }, Trainer: "t"})
}

func TestBrokenHeads(t *testing.T) {
	standin.CheckBrokenHeads(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", func(t *testing.T, address string) error {
		return newClient(address).send(t.Context(), "POST", "/v1/trainers/t/steps/1/pull", PullRequest{}, &struct{}{})
	})
}

// TestUploads opens a step with a long prompt.
func TestUploads(t *testing.T) {
	standin.CheckUploads(t, "HTTP/1.1 200 OK", "{}", func(t *testing.T, address string, upload []byte) error {
		return newClient(address).send(t.Context(), "PUT", "/v1/trainers/t/steps/1", string(upload), nil)
	})
}
