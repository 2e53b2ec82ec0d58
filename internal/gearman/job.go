package gearman

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobindex"
	"tinroute.example/tinroute/internal/jobstore"
)

// job is one job, and the payload of its requests: a background job may be offered as
// several, one after another.
type job struct {
	server                         *Server
	handle, function, unique, data string
	entry                          *jobindex.Job[*client] // guarded by Server.mu, as are request, offers and put
	request                        *dispatch.Request      // out, or nil
	offers                         int
	put                            []func(error) // submitters that wait until it is on disk; nil once it is

	mu        sync.Mutex
	id        uint64 // the store's number, 0 where it is not stored
	sends     int
	first     *jobstore.Send // the earliest that may have run
	last      *jobstore.Send
	began     time.Time // this request
	left      bool      // ... and whether it has been sent
	exception []byte    // a worker's word on why it failed
}

// sending is told of an attempt before it leaves; after an error it must not. A stored job's
// is written down first.
func (j *job) sending(ctx context.Context, t *dispatch.Attempt) error {
	j.mu.Lock()
	id := j.id
	s := jobstore.Send{Region: t.Worker.Name, Worker: t.Worker.ID, Zone: t.Worker.Zone, Cell: t.Worker.Cell}
	if k := j.server.keeper; k != nil {
		s.At = k.Now()
	}
	j.sends++
	s.Attempt = j.sends
	if j.first == nil {
		j.first = &s
	}
	j.last = &s
	j.mu.Unlock()
	if id == 0 {
		return nil
	}
	return j.server.keeper.RecordSend(ctx, id, s)
}

// ended is told of an attempt's outcome.
func (j *job) ended(status balance.Status) {
	if !status.NeverRan() {
		return
	}
	j.mu.Lock()
	id := j.id
	if j.first != nil && j.first.Attempt == j.last.Attempt {
		j.first = nil
	}
	j.mu.Unlock()
	if id != 0 {
		j.server.keeper.RetractSend(id)
	}
}

// state is what to store of a job that has been submitted already.
func (j *job) state(id uint64) *jobstore.State {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.id = id
	return &jobstore.State{Sends: j.sends, First: j.first, Last: j.last}
}

func (j *job) number() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.id
}

// What a worker gives for a job is packets: WORK_DATA and WORK_WARNING, and WORK_COMPLETE at
// the end. The core hands their bytes on as a result, each as its type, its length and its data.

func appendPart(b []byte, t Type, data []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(t))
	b = binary.BigEndian.AppendUint32(b, uint32(len(data)))
	return append(b, data...)
}

var errPart = errors.New("a result's part is cut short")

// eachPart calls f for every part of a result.
func eachPart(b []byte, f func(t Type, data []byte)) error {
	for len(b) > 0 {
		if len(b) < 8 {
			return errPart
		}
		t, n := Type(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
		if uint64(n) > uint64(len(b)-8) {
			return errPart
		}
		f(t, b[8:8+n])
		b = b[8+n:]
	}
	return nil
}

// NewSendObserver returns the observer that a Server's core needs for background jobs: it tells the
// server when its requests are sent.
func NewSendObserver() dispatch.Observer { return watch{} }

type watch struct{}

func (watch) RequestStarted(request *dispatch.Request) {
	if j, ok := request.Payload.(*job); ok {
		j.mu.Lock()
		j.began, j.left = time.Now(), false
		j.mu.Unlock()
	}
}

// AttemptSent tells how long a foreground job has waited for room, on which the pace of background
// jobs hangs.
func (watch) AttemptSent(t *dispatch.Attempt) {
	j, ok := t.Request.Payload.(*job)
	if !ok || j.server.keeper == nil {
		return
	}
	j.mu.Lock()
	first, stored, waited := !j.left, j.id != 0, time.Since(j.began)
	j.left = true
	j.mu.Unlock()
	if first && !stored {
		j.server.keeper.ForegroundWaited(waited)
	}
}

func (watch) AttemptCancelled(*dispatch.Attempt)                            {}
func (watch) AttemptEnded(*dispatch.Attempt, balance.Status, time.Duration) {}
func (watch) RequestAnswered(*dispatch.Request, dispatch.Answer)            {}
func (watch) RequestCancelled(*dispatch.Request)                            {}
