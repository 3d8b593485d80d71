package platform_test

import (
	"fmt"
	"testing"

	"lagoonlink.org/rollout/httpclient"
	"lagoonlink.org/rollout/httpclient/standin"
	"lagoonlink.org/rollout/platform"
)

func clientOf(address string) *platform.Client {
	return platform.New(httpclient.New(httpclient.Config{}), platform.Addresses{Log: address, Weights: address, VMs: address})
}

func TestBrokenHeads(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		call func(t *testing.T, address string) error
	}{
		"an append": {`{"Offset":7}`, func(t *testing.T, address string) error {
			_, err := clientOf(address).Append(t.Context(), "stream", []byte("record"))
			return err
		}},
		"a read": {"{}", func(t *testing.T, address string) error {
			_, err := clientOf(address).Read(t.Context(), "stream", 0, 1, 0)
			return err
		}},
		"the newest weights": {"{}", func(t *testing.T, address string) error {
			_, err := clientOf(address).Latest(t.Context())
			return err
		}},
		"the list of VMs": {"[]", func(t *testing.T, address string) error {
			_, err := clientOf(address).List(t.Context())
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			standin.CheckBrokenHeads(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body), c.call)
		})
	}
}

func TestUploads(t *testing.T) {
	standin.CheckUploads(t, "HTTP/1.1 200 OK", `{"Offset":7}`, func(t *testing.T, address string, upload []byte) error {
		_, err := clientOf(address).Append(t.Context(), "stream", upload)
		return err
	})
}
