package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

// manualPolicy leaves every decision to the test, and keeps the outcomes.
type manualPolicy struct {
	balance.Host
	mu       sync.Mutex
	outcomes []balance.AttemptResult
}

func (p *manualPolicy) UpdateMembers(time.Duration, balance.UpdateKind, []balance.Member) {}
func (p *manualPolicy) SubmitJob(time.Duration, balance.Job)                              {}
func (p *manualPolicy) TimerFired(time.Duration, uint64)                                  {}
func (p *manualPolicy) ClientGone(time.Duration, balance.JobID)                           {}
func (p *manualPolicy) AttemptEvent(time.Duration, balance.JobID, int, balance.EventKind, float64) {
}
func (p *manualPolicy) ProbeDone(time.Duration, balance.WorkerID, balance.Status, time.Duration, balance.LoadReport) {
}
func (p *manualPolicy) View(time.Duration) balance.View { return balance.View{} }
func (p *manualPolicy) AttemptDone(_ time.Duration, r balance.AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, r)
}

// statuses are those of the outcomes so far.
func (p *manualPolicy) statuses() (all []balance.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.outcomes {
		all = append(all, o.Status)
	}
	return all
}

type noDiscovery struct{}

func (noDiscovery) Watch() {}
func (noDiscovery) Fetch() {}

type noAnswer struct{}

func (noAnswer) Answer(dispatch.Answer) {}

// stage is a core whose policy is the test, with a driver of real HTTP and one stand-in worker.
type stage struct {
	t       *testing.T
	core    *dispatch.Core
	policy  *manualPolicy
	workers *Workers
	worker  *worker
}

const workerID = balance.WorkerID(1)

func newStage(t *testing.T, w *worker) *stage {
	s := &stage{t: t, policy: &manualPolicy{}, worker: w}
	settings := balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 9, ConnectTimeout: 250 * time.Millisecond, ConnIdleTimeout: 15 * time.Second,
		Classes: []balance.Class{{Name: "price-read", Deadline: time.Minute, Worth: 1, WorkerKind: -1}}}
	core, err := dispatch.New(dispatch.Options{Settings: settings, Policy: func(_ balance.Settings, h balance.Host) (dispatch.Policy, error) {
		s.policy.Host = h
		return s.policy, nil
	}})
	require.NoError(t, err)
	s.core = core
	s.workers = NewWorkers(core, slog.New(slog.DiscardHandler), w.dial, 16)
	core.Connect(s.workers, noDiscovery{})
	go core.Run(t.Context())
	s.list(balance.Serving)
	core.Submit(&dispatch.Request{ID: "r1", Tenant: -1, Timeout: time.Minute, Slots: 1, Client: noAnswer{},
		Payload: &forwarded{method: "POST", uri: "/price-read", host: "x", headers: [][2]string{{headerID, "r1"}}}})
	return s
}

func (s *stage) list(c balance.WorkerState) {
	s.core.UpdateMembers(balance.UpdateFull, []dispatch.Worker{{Name: "s-1", Addr: "worker",
		Member: balance.Member{ID: workerID, State: c, Weight: 1}}})
}

// do has the policy act, on the core's own goroutine.
func (s *stage) do(act func(balance.Host)) {
	s.core.Do(func() { act(s.policy.Host) })
	synctest.Wait()
}

func (s *stage) send() { s.do(func(h balance.Host) { h.Send(1, workerID, 0) }) }

// worker is a stand-in whose behaviour the test scripts: it notes what comes and answers by its
// script, "" for no answer.
type worker struct {
	mu     sync.Mutex
	got    []string // "POST r1", "DELETE r1"
	told   []time.Duration
	script func(call string) string
	dials  int
	onDial func(n int) error // before a connection comes up
	late   time.Duration     // that a connection takes to come up
	conns  []net.Conn
}

func (w *worker) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	w.mu.Lock()
	w.dials++
	n, onDial := w.dials, w.onDial
	w.mu.Unlock()
	if onDial != nil {
		if err := onDial(n); err != nil {
			return nil, err
		}
	}
	select {
	case <-time.After(w.late):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	w.mu.Lock()
	w.conns = append(w.conns, far)
	w.mu.Unlock()
	go w.serve(far)
	return near, nil
}

func (w *worker) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(r.Body)
		call := r.Method + " " + r.Header.Get(headerID)
		if r.Method == http.MethodDelete {
			call = r.Method + " " + strings.TrimPrefix(r.URL.Path, pathJobs)
		}
		w.mu.Lock()
		w.got = append(w.got, call)
		if text := r.Header.Get(headerDeadline); text != "" {
			us, _ := strconv.ParseInt(strings.TrimSuffix(text, "u"), 10, 64)
			w.told = append(w.told, time.Duration(us)*time.Microsecond)
		}
		answer := w.script(call)
		w.mu.Unlock()
		switch answer {
		case "":
		case "close":
			_ = c.Close()
			return
		case "cut":
			_, _ = io.WriteString(c, "HTTP/1.1 20")
			_ = c.Close()
			return
		case "endless":
			_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\n")
			for {
				if _, err := io.WriteString(c, "X-More: "+strings.Repeat("more ", 200)+"\r\n"); err != nil {
					return
				}
			}
		default:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", answer)
		}
	}
}

func (w *worker) calls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.got...)
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

func onStage(t *testing.T, w *worker, scene func(t *testing.T, s *stage)) {
	synctest.Test(t, func(t *testing.T) {
		scene(t, newStage(t, w))
		w.close()
	})
}

// A cancel that closes the connection may cross the worker's 202: the worker goes on with a job
// that it was never told to give up, and a second attempt there meets the first. So nothing is
// settled before a DELETE has been answered.
func TestACancelBeforeThe202IsConfirmed(t *testing.T) {
	deleted := false
	w := &worker{script: func(call string) string {
		if call == "DELETE r1" && deleted {
			return "200 OK"
		}
		return ""
	}}
	onStage(t, w, func(t *testing.T, s *stage) {
		s.send()
		s.do(func(h balance.Host) { h.Cancel(1, 0) })
		time.Sleep(takenWait)
		synctest.Wait()
		require.Equal(t, []string{"POST r1", "DELETE r1"}, w.calls())
		time.Sleep(cancelsSettle)
		s.send()
		require.Equal(t, []string{"POST r1", "DELETE r1"}, w.calls(), "the first may still run there")
		require.Contains(t, s.policy.statuses(), balance.StatusNotSent)
	})
	w.got, deleted = nil, true
	onStage(t, w, func(t *testing.T, s *stage) {
		s.send()
		s.do(func(h balance.Host) { h.Cancel(1, 0) })
		time.Sleep(takenWait)
		synctest.Wait()
		require.Equal(t, []balance.Status{balance.StatusCancelled}, s.policy.statuses())
		s.send()
		require.Equal(t, []string{"POST r1", "DELETE r1", "POST r1"}, w.calls(), "the first is given up for certain")
	})
}

// cancelsSettle is longer than the core and the driver take over a cancel that nobody answers.
const cancelsSettle = deleteWait + 3*time.Second

// The DELETE of an accepted job met an idle connection that the worker was closing, and the job
// counted as given up. It is tried again on another connection; where none is answered the worker
// keeps the job, as far as anyone knows.
func TestADeleteOnADyingConnectionIsTriedAgain(t *testing.T) {
	for _, answered := range []int{1, 2, 3, 4} {
		tries := 0
		w := &worker{script: func(call string) string {
			if call == "POST r1" {
				return "202 Accepted"
			}
			if tries++; tries < answered {
				return "close"
			}
			return "200 OK"
		}}
		onStage(t, w, func(t *testing.T, s *stage) {
			s.send()
			s.do(func(h balance.Host) { h.Cancel(1, 0) })
			time.Sleep(cancelsSettle)
			synctest.Wait()
			require.Equal(t, min(answered, deleteTries), tries)
			s.send()
			posts := 0
			for _, call := range w.calls() {
				if call == "POST r1" {
					posts++
				}
			}
			if answered > deleteTries {
				require.Equal(t, 1, posts, "no DELETE was answered, and the first may still run there")
			} else {
				require.Equal(t, 2, posts)
			}
		})
	}
}

// A process that no longer listens has no job left.
func TestARefusedDeleteSettles(t *testing.T) {
	w := &worker{script: func(string) string { return "202 Accepted" }}
	onStage(t, w, func(t *testing.T, s *stage) {
		s.send()
		w.mu.Lock()
		w.onDial = func(int) error { return syscall.ECONNREFUSED }
		w.mu.Unlock()
		w.close()
		synctest.Wait()
		s.do(func(h balance.Host) { h.Cancel(1, 0) })
		require.Equal(t, []balance.Status{balance.StatusCancelled}, s.policy.statuses())
	})
}

// A worker is told the time that is left as its attempt's bytes leave, not as it was chosen: a
// connection may come up late.
func TestAWorkerIsToldTheTimeThatIsLeft(t *testing.T) {
	const late = 200 * time.Millisecond
	w := &worker{script: func(string) string { return "202 Accepted" }, onDial: func(int) error { time.Sleep(late); return nil }}
	onStage(t, w, func(t *testing.T, s *stage) {
		s.send()
		time.Sleep(late)
		synctest.Wait()
		require.Equal(t, []time.Duration{time.Minute - late}, w.told)
	})
}

// A drain that is told while an attempt waits for its connection: not one byte of it is written.
func TestADrainDuringADialKeepsTheAttemptBack(t *testing.T) {
	for _, told := range []balance.WorkerState{balance.Draining, balance.Gone} {
		w := &worker{script: func(string) string { return "202 Accepted" }, onDial: func(int) error { time.Sleep(200 * time.Millisecond); return nil }}
		onStage(t, w, func(t *testing.T, s *stage) {
			s.send()
			time.Sleep(100 * time.Millisecond)
			s.list(told)
			time.Sleep(time.Second)
			synctest.Wait()
			require.Empty(t, w.calls())
			require.Equal(t, []balance.Status{balance.StatusNotSent}, s.policy.statuses(), "it never ran")
		})
	}
}

// A client that leaves during a dial: the attempt does not begin.
func TestAClientThatLeavesDuringADial(t *testing.T) {
	w := &worker{script: func(string) string { return "202 Accepted" }, onDial: func(int) error { time.Sleep(200 * time.Millisecond); return nil }}
	onStage(t, w, func(t *testing.T, s *stage) {
		s.send()
		time.Sleep(100 * time.Millisecond)
		s.do(func(h balance.Host) { h.Cancel(1, 0) })
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, w.calls())
		require.Equal(t, []balance.Status{balance.StatusNotSent}, s.policy.statuses())
	})
}

// A worker repeats a call-back whose reply was lost. One of an earlier attempt must not end a later
// attempt at the same worker, which runs; once that has been taken, its own are its own.
func TestARepeatedCallBackDoesNotEndALaterAttempt(t *testing.T) {
	accept := true
	w := &worker{}
	w.script = func(string) string {
		if accept {
			return "202 Accepted"
		}
		return ""
	}
	onStage(t, w, func(t *testing.T, s *stage) {
		s.send()
		_, err := s.workers.HandleEvent("r1", "s-1", "returned", 0, nil)
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, []balance.Status{balance.StatusFull}, s.policy.statuses())
		w.mu.Lock()
		accept = false
		w.mu.Unlock()
		s.send()
		for _, state := range []string{"returned", "lost", "failed"} {
			_, err = s.workers.HandleEvent("r1", "s-1", state, 0, nil)
			require.True(t, errors.Is(err, errNotYet), state)
		}
		synctest.Wait()
		require.Len(t, s.policy.statuses(), 1)
		known, err := s.workers.HandleEvent("r1", "s-1", "done", 1, []byte("result"))
		require.NoError(t, err)
		require.True(t, known, "a result is a result")
	})
}

// An answer that is cut, or has no end, tells nothing of the job, which may have run; its connection
// carries nothing more.
func TestACutOrEndlessAnswer(t *testing.T) {
	for _, answer := range []string{"cut", "endless"} {
		w := &worker{}
		w.script = func(string) string {
			if w.dials == 1 {
				return answer
			}
			return "202 Accepted"
		}
		onStage(t, w, func(t *testing.T, s *stage) {
			s.send()
			require.Equal(t, []balance.Status{balance.StatusReset}, s.policy.statuses(), answer)
			time.Sleep(time.Second)
			s.send()
			require.Equal(t, []string{"POST r1", "POST r1"}, w.calls(), answer)
			require.Equal(t, 2, w.dials, answer)
		})
	}
}

// A connection that comes up after 1.5 s comes too late: the attempt ended as never run when the
// settings' time was over, and not one byte is written.
func TestALateConnection(t *testing.T) {
	w := &worker{script: func(string) string { return "202 Accepted" }, late: 1500 * time.Millisecond}
	onStage(t, w, func(t *testing.T, s *stage) {
		s.send()
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []balance.Status{balance.StatusUnreachable}, s.policy.statuses())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Empty(t, w.calls())
	})
}
