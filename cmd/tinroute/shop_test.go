package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shop is what the real program needs around it: a service table, four job servers in two zones
// of two cells, and its files.
type shop struct {
	t                   *testing.T
	addr, store         string // of the Gearman front, and of the job store
	config, second, log string // files
	env                 []string
}

func newShop(t *testing.T, settings, more string, serve func(region int, c net.Conn)) *shop {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	var servers []string
	for i := range 4 {
		l := listen()
		servers = append(servers, fmt.Sprintf(`{"id":"s-0000000%d","addr":%q,"zone":%q,"kind":"large","cell":%d,"state":"SERVING","weight":1}`,
			i, l.Addr(), "ab"[i/2:i/2+1], i))
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serve(i, c)
			}
		}()
	}
	table := listen()
	go func() {
		_ = http.Serve(table, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
			if r.URL.Query().Get("after") == "1" {
				time.Sleep(time.Duration(wait) * time.Millisecond)
				_, _ = fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
				return
			}
			_, _ = fmt.Fprintf(w, `{"version":1,"full":true,"servers":[%s]}`, strings.Join(servers, ","))
		}))
	}()
	dir := t.TempDir()
	w := &shop{t: t, addr: freeAddr(t), store: filepath.Join(dir, "jobs"), config: filepath.Join(dir, "config.json"),
		second: filepath.Join(dir, "gearman.toml"), log: filepath.Join(dir, "log")}
	write := func(path, text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(w.config, strings.ReplaceAll(settings, "TABLE", table.Addr().String()))
	write(w.second, fmt.Sprintf("listen = %q\ndiscovery = %q\n[store]\npath = %q\n%s", w.addr, table.Addr(), w.store, more))
	return w
}

// freeAddr is an address that nothing listens at, with a port that the system gives to nobody who asks for
// any: while the program is down, another package's test, which runs beside this one, could otherwise be
// given it, and answer in the program's place.
func freeAddr(t *testing.T) string {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(10_000))
		if l, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, l.Close())
			return addr
		}
	}
	require.FailNow(t, "no port is free")
	return ""
}

// start starts the program.
func (w *shop) start() *exec.Cmd {
	log, err := os.OpenFile(w.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	defer func() { _ = log.Close() }()
	p := exec.Command(os.Args[0], "-gearman", w.second)
	p.Env = append(os.Environ(), "TINROUTE_TEST_MAIN=1", "LB_CONFIG="+w.config)
	p.Env = append(p.Env, w.env...)
	p.Stderr = log
	require.NoError(w.t, p.Start())
	return p
}

// dial connects to the Gearman front once it is there.
func (w *shop) dial() net.Conn {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(3 * time.Millisecond) {
		if c, err := net.Dial("tcp", w.addr); err == nil {
			return c
		}
	}
	return nil
}

// text asks by the text protocol for a list.
func (w *shop) text(command string) (lines []string, err error) {
	c := w.dial()
	if c == nil {
		return nil, errors.New("not to be reached")
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = c.Write([]byte(command + "\n"))
	for in := bufio.NewScanner(c); in.Scan(); {
		if in.Text() == "." {
			return lines, nil
		}
		lines = append(lines, in.Text())
	}
	return lines, errors.New("cut short")
}
