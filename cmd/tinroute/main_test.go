package main

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain runs the program itself where the tests below ask for it.
func TestMain(m *testing.M) {
	if os.Getenv("TINROUTE_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// SIGHUP makes the program read its file again, whose discovery then wins over the older
// word of its environment; unhandled it would end the process. A faulty file changes nothing.
func TestHangup(t *testing.T) {
	discovery := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	asked := func(l net.Listener) {
		require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(20*time.Second)))
		c, err := l.Accept()
		require.NoError(t, err)
		r, err := http.ReadRequest(bufio.NewReader(c))
		require.NoError(t, err)
		require.Equal(t, "/api/targets", r.URL.Path)
	}
	first, second, third := discovery(), discovery(), discovery()
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(l net.Listener, sockets string) {
		text := strings.NewReplacer(`"example/hooks.star"`, "", "127.0.0.1:8500", l.Addr().String(), "1024", sockets).Replace(string(text))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write(first, "1024")
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+file, "LB_LISTEN=127.0.0.1:0",
		"LB_DISCOVERY="+first.Addr().String())
	require.NoError(t, p.Start())
	asked(first)
	write(second, "1024")
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	asked(second)
	write(first, "3")
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	write(third, "1024")
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	asked(third)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait())
}

// Told to end at any moment of its start, the program ends in order, or by the signal's own default
// where it has not come to take it; it neither fails nor stays.
func TestEarlyKills(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(strings.NewReplacer(`"example/hooks.star"`, "").Replace(string(text))), 0o600))
	for delay := time.Duration(0); delay <= 120*time.Millisecond; delay += 15 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			p := exec.Command(os.Args[0])
			p.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+file, "LB_LISTEN=127.0.0.1:0", "LB_DISCOVERY=127.0.0.1:1")
			require.NoError(t, p.Start())
			time.Sleep(delay)
			require.NoError(t, p.Process.Signal(syscall.SIGTERM))
			ended := make(chan error, 1)
			go func() { ended <- p.Wait() }()
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				_ = p.Process.Kill()
				t.Fatal("the process stays")
			}
			status := p.ProcessState.Sys().(syscall.WaitStatus)
			require.True(t, status.ExitStatus() == 0 || status.Signaled() && status.Signal() == syscall.SIGTERM, "%v", p.ProcessState)
		})
	}
}
