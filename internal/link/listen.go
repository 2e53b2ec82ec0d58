package link

import (
	"context"
	"net"
	"syscall"
)

// Listen opens a TCP listener that a second process of the same program may share for an
// upgrade: with SO_REUSEPORT both the old and the new process listen at the clients' address,
// and the kernel spreads new connections over them until the old one closes its own. Without
// it the new process could not bind while the old one serves, and a gap between the two would
// turn clients away.
func Listen(network, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { err = reusePort(fd) }); e != nil {
			return e
		}
		return err
	}}
	return lc.Listen(context.Background(), network, addr)
}
