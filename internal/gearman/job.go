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

// job is one job and the payload of its dispatcher requests. A background job may be submitted
// to the dispatcher several times, one request after another.
type job struct {
	server                         *Server
	handle, function, unique, data string
	entry                          *jobindex.Job[*client] // guarded by Server.mu, as are request, offers and storeCallbacks
	request                        *dispatch.Request      // the open request, or nil
	offers                         int                    // requests made so far
	storeCallbacks                 []func(error)          // called after the pending write to the job store; nil if none is pending

	sends *sendLog // made while the job was not stored; the scheduler records all later ones

	mu        sync.Mutex
	storeID   uint64    // ID in the job store, 0 if the job is not stored
	startedAt time.Time // when the current request started
	sent      bool      // the current request has been sent to a worker
	exception []byte    // data of a worker's WORK_EXCEPTION, or nil
}

// sendLog is the record of the sends of a job. A job that is submitted again after its clients have left shares it with its
// predecessor, whose attempts may still run. It is safe for concurrent use.
type sendLog struct {
	mu    sync.Mutex
	state jobstore.State // only the sends are used
}

// add numbers and records a send.
func (l *sendLog) add(send jobstore.Send) jobstore.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	send = l.state.NumberSend(send)
	l.state.AddSend(send)
	return send
}

// retract removes the record of a send that provably did not run.
func (l *sendLog) retract(send jobstore.Send) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.RetractSend(send)
}

// snapshot returns a copy of the record.
func (l *sendLog) snapshot() jobstore.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// sendRecord identifies the record of one attempt. Several attempts of a job may be in progress, also of its
// earlier requests, so an outcome may change the record of its own attempt only.
type sendRecord struct {
	storeID uint64 // the job's ID in the store when the record was made, 0 if it was not stored
	send    jobstore.Send
}

// recordSend records an attempt before it is sent; after an error it must not be sent. The record
// of a stored job is on disk when recordSend returns.
func (j *job) recordSend(ctx context.Context, attempt *dispatch.Attempt) (sendRecord, error) {
	send := jobstore.Send{WorkerName: attempt.Worker.Name, WorkerID: attempt.Worker.ID,
		Zone: attempt.Worker.Zone, Cell: attempt.Worker.Cell, At: j.server.opts.Now()}
	j.mu.Lock()
	id := j.storeID
	if id == 0 {
		send = j.sends.add(send)
	}
	j.mu.Unlock()
	if id == 0 {
		return sendRecord{send: send}, nil
	}
	send, err := j.server.scheduler().RecordSend(ctx, id, send)
	return sendRecord{storeID: id, send: send}, err
}

// retractSend retracts the record of an attempt that provably did not run.
func (j *job) retractSend(record sendRecord) {
	id := record.storeID
	if id == 0 {
		j.mu.Lock()
		j.sends.retract(record.send)
		id = j.storeID // the job may have been stored since, with this record
		j.mu.Unlock()
	}
	if id != 0 {
		j.server.scheduler().RetractSend(id, record.send)
	}
}

// storeState sets the job's store ID and returns the state to store, with the sends made so far.
func (j *job) storeState(id uint64) *jobstore.State {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.storeID = id
	state := j.sends.snapshot()
	return &state
}

func (j *job) currentStoreID() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.storeID
}

// appendResultPart appends one packet of a worker's result: WORK_DATA, WORK_WARNING or the final
// WORK_COMPLETE. The core passes the result on as opaque bytes, in which each packet is encoded
// as its type, its length and its data.
func appendResultPart(b []byte, t Type, data []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(t))
	b = binary.BigEndian.AppendUint32(b, uint32(len(data)))
	return append(b, data...)
}

var errTruncatedResult = errors.New("result part is truncated")

// eachResultPart calls f for every packet of a result that appendResultPart encoded.
func eachResultPart(b []byte, f func(t Type, data []byte)) error {
	for len(b) > 0 {
		if len(b) < 8 {
			return errTruncatedResult
		}
		t, n := Type(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
		if uint64(n) > uint64(len(b)-8) {
			return errTruncatedResult
		}
		f(t, b[8:8+n])
		b = b[8+n:]
	}
	return nil
}

// NewSendObserver returns the observer that the core of a Server needs for background jobs. It
// reports how long foreground jobs wait before they are sent.
func NewSendObserver() dispatch.Observer { return sendObserver{} }

type sendObserver struct{}

func (sendObserver) RequestStarted(request *dispatch.Request) {
	if j, ok := request.Payload.(*job); ok {
		j.mu.Lock()
		j.startedAt, j.sent = time.Now(), false
		j.mu.Unlock()
	}
}

// AttemptSent reports how long a foreground job waited for capacity. The scheduler offers fewer
// background jobs when foreground jobs wait too long.
func (sendObserver) AttemptSent(attempt *dispatch.Attempt) {
	j, ok := attempt.Request.Payload.(*job)
	if !ok || j.server.scheduler() == nil {
		return
	}
	j.mu.Lock()
	first, background, waited := !j.sent, j.storeID != 0, time.Since(j.startedAt)
	j.sent = true
	j.mu.Unlock()
	if first && !background {
		j.server.scheduler().ForegroundWaited(waited)
	}
}

func (sendObserver) AttemptCancelled(*dispatch.Attempt)                            {}
func (sendObserver) AttemptEnded(*dispatch.Attempt, balance.Status, time.Duration) {}
func (sendObserver) RequestAnswered(*dispatch.Request, dispatch.Answer)            {}
func (sendObserver) RequestCancelled(*dispatch.Request)                            {}
