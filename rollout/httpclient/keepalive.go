package httpclient

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unacknowledged keep-alive probes after which a
// connection is considered broken.
const keepAliveProbes = 3

// setUnacknowledgedTimeout makes connections fail if the peer acknowledges nothing
// for the timeout, instead of after the several minutes of the system's default.
func setUnacknowledgedTimeout(d *net.Dialer, timeout time.Duration) {
	d.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     max(time.Second, timeout/keepAliveProbes),
		Interval: max(time.Second, timeout/keepAliveProbes),
		Count:    keepAliveProbes,
	}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}
