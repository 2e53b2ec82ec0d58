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

// TestMain runs the program instead of the tests if TINROUTE_TEST_MAIN is set, so that tests can start
// the test binary as the daemon.
func TestMain(m *testing.M) {
	if os.Getenv("TINROUTE_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// SIGHUP reloads the configuration file, and the discovery address of the file then takes precedence
// over the one in the environment. An unhandled SIGHUP would end the process. An invalid file changes
// nothing.
func TestReloadOnHangup(t *testing.T) {
	startDiscoveryListener := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	expectQuery := func(l net.Listener) {
		require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(20*time.Second)))
		c, err := l.Accept()
		require.NoError(t, err)
		r, err := http.ReadRequest(bufio.NewReader(c))
		require.NoError(t, err)
		require.Equal(t, "/api/targets", r.URL.Path)
	}
	first, second, third := startDiscoveryListener(), startDiscoveryListener(), startDiscoveryListener()
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(l net.Listener, sockets string) {
		text := strings.NewReplacer(`"example/hooks.star"`, "", "127.0.0.1:8500", l.Addr().String(), "1024", sockets).Replace(string(text))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write(first, "1024")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+file, "LB_LISTEN=127.0.0.1:0",
		"LB_DISCOVERY="+first.Addr().String())
	require.NoError(t, cmd.Start())
	expectQuery(first)
	write(second, "1024")
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	expectQuery(second)
	write(first, "3")
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	write(third, "1024")
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	expectQuery(third)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// A SIGTERM at any time during the start ends the process: cleanly, or by the signal's default action
// if the handler is not installed yet. It must neither fail nor keep running.
func TestTerminationDuringStart(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(strings.NewReplacer(`"example/hooks.star"`, "").Replace(string(text))), 0o600))
	for delay := time.Duration(0); delay <= 120*time.Millisecond; delay += 15 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+file, "LB_LISTEN=127.0.0.1:0", "LB_DISCOVERY=127.0.0.1:1")
			require.NoError(t, cmd.Start())
			time.Sleep(delay)
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				_ = cmd.Process.Kill()
				t.Fatal("the process is still running")
			}
			status := cmd.ProcessState.Sys().(syscall.WaitStatus)
			require.True(t, status.ExitStatus() == 0 || status.Signaled() && status.Signal() == syscall.SIGTERM, "%v", cmd.ProcessState)
		})
	}
}
