package service_test

import (
	"testing"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/httpclient/standin"
)

func TestBrokenHeads(t *testing.T) {
	standin.CheckBrokenHeads(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(t *testing.T, address string) error {
		_, err := newAdapter().Call(t.Context(), address, rollout.Call{Method: "POST", Path: "/", ID: "9", Body: []byte("x")})
		return err
	})
}

func TestUploads(t *testing.T) {
	for name, head := range map[string]string{"a success": "HTTP/1.1 200 OK", "a failure": "HTTP/1.1 500 Oops"} {
		t.Run(name, func(t *testing.T) {
			standin.CheckUploads(t, head, "part", func(t *testing.T, address string, upload []byte) error {
				_, err := newAdapter().Call(t.Context(), address, rollout.Call{Method: "POST", Path: "/", ID: "9", Body: upload})
				return err
			})
		})
	}
}
