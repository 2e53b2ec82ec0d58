package link

import (
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// During an upgrade a second process listens on the same address while the first still serves. Both
// must be able to listen, and the second must accept connections after the first has closed its
// listener.
func TestListenSharesAddress(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("requires Linux's SO_REUSEPORT")
	}
	old, err := Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_, err = net.Listen("tcp", old.Addr().String())
	require.Error(t, err, "a listener without the option must not share the address")
	fresh, err := Listen("tcp", old.Addr().String())
	require.NoError(t, err, "the second process must be able to listen beside the first")
	defer fresh.Close()
	require.NoError(t, old.Close())

	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := fresh.Accept()
		if err == nil {
			accepted <- c
		}
		close(accepted)
	}()
	c, err := net.Dial("tcp", fresh.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	got := <-accepted
	require.NotNil(t, got, "the second listener takes the connection once the first is closed")
	got.Close()
}
