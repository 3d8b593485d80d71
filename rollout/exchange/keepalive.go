package exchange

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is how many probes go unanswered before a connection is broken.
const keepAliveProbes = 3

// breakSilent makes connections break when the other side acknowledges nothing
// for a time, instead of after the minutes that the system allows.
func breakSilent(d *net.Dialer, silence time.Duration) {
	d.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     max(time.Second, silence/keepAliveProbes),
		Interval: max(time.Second, silence/keepAliveProbes),
		Count:    keepAliveProbes,
	}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
