package httpclient

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// writeFailure is the first error of the writes to a connection. The kernel reports a lost
// connection only once. If a write receives that report, reads return io.EOF, as if the server
// had ended its response.
type writeFailure struct {
	// writing is held while a write is in progress. It guards err.
	writing sync.Mutex
	err     error
}

func (f *writeFailure) write(conn net.Conn, data []byte) (int, error) {
	f.writing.Lock()
	defer f.writing.Unlock()
	n, err := conn.Write(data)
	if f.err == nil {
		f.err = err
	}
	return n, err
}

// afterEOF returns the error that a read should return in place of io.EOF, or io.EOF if the
// server has ended the response.
func (f *writeFailure) afterEOF(conn net.Conn, eof error) error {
	if closedByServer(conn) {
		// A write may still block here: the server doesn't have to read on.
		return eof
	}
	// The connection is gone, so that a write in progress returns at once.
	f.writing.Lock()
	defer f.writing.Unlock()
	// EPIPE means that the server had ended the response before the connection was lost.
	if f.err == nil || errors.Is(f.err, syscall.EPIPE) {
		return eof
	}
	return f.err
}

// closedByServer reports whether the server has closed its side of a connection that still
// exists.
func closedByServer(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err == nil && infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}
