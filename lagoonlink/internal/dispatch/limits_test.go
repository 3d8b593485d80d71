package dispatch

import (
	"fmt"
	"testing"

	"lagoonlink.org/rollout/assert"
)

func TestBookingSize(t *testing.T) {
	for _, c := range []struct {
		waiting, servers int
		rate             float64
		want             int
	}{
		{waiting: 1, servers: 3, rate: 100, want: 1},
		{waiting: 90, servers: 3, rate: 1, want: 1},
		{waiting: 9, servers: 3, rate: 100, want: 3},
		{waiting: 90, servers: 3, rate: 100, want: 20},
		{waiting: 9000, servers: 3, rate: 10000, want: 64},
	} {
		t.Run(fmt.Sprintf("%d requests, %d servers, %g a second", c.waiting, c.servers, c.rate), func(t *testing.T) {
			assert.Equal(t, "requests", bookingSize(c.waiting, c.servers, c.rate), c.want)
		})
	}
}
