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

// manualPolicy makes no decisions of its own, and records the outcomes.
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

// statuses returns the statuses of the outcomes so far.
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

// workersFixture is a core whose decisions the test makes, with the real Workers and one fake worker.
type workersFixture struct {
	t       *testing.T
	core    *dispatch.Core
	policy  *manualPolicy
	workers *Workers
	worker  *fakeWorker
}

const workerID = balance.WorkerID(1)

func newWorkersFixture(t *testing.T, w *fakeWorker) *workersFixture {
	f := &workersFixture{t: t, policy: &manualPolicy{}, worker: w}
	settings := balance.Settings{FleetSize: 1, WorkerKinds: 1, MaxAttempts: 9, ConnectTimeout: 250 * time.Millisecond, ConnIdleTimeout: 15 * time.Second,
		Classes: []balance.Class{{Name: "price-read", Deadline: time.Minute, Worth: 1, WorkerKind: -1}}}
	core, err := dispatch.New(dispatch.Options{Settings: settings, Policy: func(_ balance.Settings, h balance.Host) (dispatch.Policy, error) {
		f.policy.Host = h
		return f.policy, nil
	}})
	require.NoError(t, err)
	f.core = core
	f.workers = NewWorkers(core, slog.New(slog.DiscardHandler), w.dial, 16)
	core.Connect(f.workers, noDiscovery{})
	go core.Run(t.Context())
	f.updateMembers(balance.Serving)
	core.Submit(&dispatch.Request{ID: "r1", Tenant: -1, Timeout: time.Minute, Slots: 1, Client: noAnswer{},
		Payload: &forwardedRequest{method: "POST", uri: "/price-read", host: "x", headers: [][2]string{{headerID, "r1"}}}})
	return f
}

func (f *workersFixture) updateMembers(state balance.WorkerState) {
	f.core.UpdateMembers(balance.UpdateFull, []dispatch.Worker{{Name: "s-1", Addr: "worker",
		Member: balance.Member{ID: workerID, State: state, Weight: 1}}})
}

// do runs act on the core's goroutine.
func (f *workersFixture) do(act func(balance.Host)) {
	f.core.Do(func() { act(f.policy.Host) })
	synctest.Wait()
}

func (f *workersFixture) send() { f.do(func(h balance.Host) { h.Send(1, workerID, 0) }) }

// fakeWorker is a scripted worker. It records the calls and responds as script returns: a status, ""
// for no response, or one of the faults in serve.
type fakeWorker struct {
	mu        sync.Mutex
	received  []string        // calls such as "POST r1" and "DELETE r1"
	deadlines []time.Duration // their deadlines
	script    func(call string) string
	dials     int
	onDial    func(n int) error // called before the nth connection is established
	dialDelay time.Duration     // how long it takes to establish a connection
	conns     []net.Conn
}

func (w *fakeWorker) dial(ctx context.Context, _, _ string) (net.Conn, error) {
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
	case <-time.After(w.dialDelay):
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

func (w *fakeWorker) serve(c net.Conn) {
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
		w.received = append(w.received, call)
		if text := r.Header.Get(headerDeadline); text != "" {
			micros, _ := strconv.ParseInt(strings.TrimSuffix(text, "u"), 10, 64)
			w.deadlines = append(w.deadlines, time.Duration(micros)*time.Microsecond)
		}
		response := w.script(call)
		w.mu.Unlock()
		switch response {
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
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", response)
		}
	}
}

func (w *fakeWorker) calls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.received...)
}

func (w *fakeWorker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

func runWithWorker(t *testing.T, w *fakeWorker, test func(t *testing.T, f *workersFixture)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, newWorkersFixture(t, w))
		w.close()
	})
}

// A cancel that closes the connection may race with the worker's 202: the worker then runs a job whose
// cancel it never received, and a second attempt there collides with the first. So the attempt must
// not end before a DELETE has been answered.
func TestCancelBeforeAcceptIsConfirmedByDelete(t *testing.T) {
	deleted := false
	w := &fakeWorker{script: func(call string) string {
		if call == "DELETE r1" && deleted {
			return "200 OK"
		}
		return ""
	}}
	runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
		f.send()
		f.do(func(h balance.Host) { h.Cancel(1, 0) })
		time.Sleep(cancelAcceptWait)
		synctest.Wait()
		require.Equal(t, []string{"POST r1", "DELETE r1"}, w.calls())
		time.Sleep(cancelGivenUp)
		f.send()
		require.Equal(t, []string{"POST r1", "DELETE r1"}, w.calls(), "the first attempt may still run there")
		require.Contains(t, f.policy.statuses(), balance.StatusNotSent)
	})
	w.received, deleted = nil, true
	runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
		f.send()
		f.do(func(h balance.Host) { h.Cancel(1, 0) })
		time.Sleep(cancelAcceptWait)
		synctest.Wait()
		require.Equal(t, []balance.Status{balance.StatusCancelled}, f.policy.statuses())
		f.send()
		require.Equal(t, []string{"POST r1", "DELETE r1", "POST r1"}, w.calls(), "the first attempt is known to be cancelled")
	})
}

// cancelGivenUp is longer than the core and Workers wait for a cancel that is never answered.
const cancelGivenUp = deleteTimeout + 3*time.Second

// Guards against a failed DELETE that counts as a cancel: it was sent on an idle connection that the
// worker was closing. The DELETE must be retried on another connection, and if none is answered, the
// worker must be assumed to run the job.
func TestDeleteIsRetriedOnFailedConnection(t *testing.T) {
	for _, answered := range []int{1, 2, 3, 4} {
		tries := 0
		w := &fakeWorker{script: func(call string) string {
			if call == "POST r1" {
				return "202 Accepted"
			}
			if tries++; tries < answered {
				return "close"
			}
			return "200 OK"
		}}
		runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
			f.send()
			f.do(func(h balance.Host) { h.Cancel(1, 0) })
			time.Sleep(cancelGivenUp)
			synctest.Wait()
			require.Equal(t, min(answered, maxDeleteTries), tries)
			f.send()
			posts := 0
			for _, call := range w.calls() {
				if call == "POST r1" {
					posts++
				}
			}
			if answered > maxDeleteTries {
				require.Equal(t, 1, posts, "no DELETE was answered, so the first attempt may still run there")
			} else {
				require.Equal(t, 2, posts)
			}
		})
	}
}

// If the connection for a DELETE is refused, no process listens any more and the job has ended.
func TestDeleteWithRefusedConnectionEndsAttempt(t *testing.T) {
	w := &fakeWorker{script: func(string) string { return "202 Accepted" }}
	runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
		f.send()
		w.mu.Lock()
		w.onDial = func(int) error { return syscall.ECONNREFUSED }
		w.mu.Unlock()
		w.close()
		synctest.Wait()
		f.do(func(h balance.Host) { h.Cancel(1, 0) })
		require.Equal(t, []balance.Status{balance.StatusCancelled}, f.policy.statuses())
	})
}

// The deadline sent to a worker must be the time left when the request is written, not when the worker
// was chosen: the connection may take a while to be established.
func TestDeadlineSentIsTimeLeftAtWrite(t *testing.T) {
	const dialDelay = 200 * time.Millisecond
	w := &fakeWorker{script: func(string) string { return "202 Accepted" }, onDial: func(int) error { time.Sleep(dialDelay); return nil }}
	runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
		f.send()
		time.Sleep(dialDelay)
		synctest.Wait()
		require.Equal(t, []time.Duration{time.Minute - dialDelay}, w.deadlines)
	})
}

// If a worker is listed as draining or gone while an attempt waits for its connection, not one byte of
// the attempt may be written.
func TestDrainDuringDialStopsAttempt(t *testing.T) {
	for _, state := range []balance.WorkerState{balance.Draining, balance.Gone} {
		w := &fakeWorker{script: func(string) string { return "202 Accepted" }, onDial: func(int) error { time.Sleep(200 * time.Millisecond); return nil }}
		runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
			f.send()
			time.Sleep(100 * time.Millisecond)
			f.updateMembers(state)
			time.Sleep(time.Second)
			synctest.Wait()
			require.Empty(t, w.calls())
			require.Equal(t, []balance.Status{balance.StatusNotSent}, f.policy.statuses(), "the attempt must end as never sent")
		})
	}
}

// If the client leaves while an attempt waits for its connection, the attempt must not be sent.
func TestClientLeavesDuringDial(t *testing.T) {
	w := &fakeWorker{script: func(string) string { return "202 Accepted" }, onDial: func(int) error { time.Sleep(200 * time.Millisecond); return nil }}
	runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
		f.send()
		time.Sleep(100 * time.Millisecond)
		f.do(func(h balance.Host) { h.Cancel(1, 0) })
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, w.calls())
		require.Equal(t, []balance.Status{balance.StatusNotSent}, f.policy.statuses())
	})
}

// A worker repeats a call-back whose response was lost. A repeated call-back of an earlier attempt must
// not end a later attempt at the same worker before its 202. A result is accepted all the same.
func TestRepeatedCallBackDoesNotEndLaterAttempt(t *testing.T) {
	accept := true
	w := &fakeWorker{}
	w.script = func(string) string {
		if accept {
			return "202 Accepted"
		}
		return ""
	}
	runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
		f.send()
		_, err := f.workers.HandleEvent("r1", "s-1", "returned", 0, nil)
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, []balance.Status{balance.StatusFull}, f.policy.statuses())
		w.mu.Lock()
		accept = false
		w.mu.Unlock()
		f.send()
		for _, state := range []string{"returned", "lost", "failed"} {
			_, err = f.workers.HandleEvent("r1", "s-1", state, 0, nil)
			require.True(t, errors.Is(err, errNotAccepted), state)
		}
		synctest.Wait()
		require.Len(t, f.policy.statuses(), 1)
		known, err := f.workers.HandleEvent("r1", "s-1", "done", 1, []byte("result"))
		require.NoError(t, err)
		require.True(t, known, "a result must be accepted from either attempt")
	})
}

// After a truncated or endless response the job may have run, and the connection must not be reused.
func TestTruncatedOrEndlessResponse(t *testing.T) {
	for _, answer := range []string{"cut", "endless"} {
		w := &fakeWorker{}
		w.script = func(string) string {
			if w.dials == 1 {
				return answer
			}
			return "202 Accepted"
		}
		runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
			f.send()
			require.Equal(t, []balance.Status{balance.StatusReset}, f.policy.statuses(), answer)
			time.Sleep(time.Second)
			f.send()
			require.Equal(t, []string{"POST r1", "POST r1"}, w.calls(), answer)
			require.Equal(t, 2, w.dials, answer)
		})
	}
}

// A connection that takes 1.5 s is too late: the attempt must end as unreachable at the connect timeout
// of the settings, and not one byte may be written.
func TestConnectTimeout(t *testing.T) {
	w := &fakeWorker{script: func(string) string { return "202 Accepted" }, dialDelay: 1500 * time.Millisecond}
	runWithWorker(t, w, func(t *testing.T, f *workersFixture) {
		f.send()
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []balance.Status{balance.StatusUnreachable}, f.policy.statuses())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Empty(t, w.calls())
	})
}
