package wire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"time"

	"tinroute.example/tinroute/balance"
)

// Encoder implements balance.Host. It writes the actions of one instance as lines.
type Encoder struct {
	out        *bufio.Writer
	instanceID int64
	line       []byte
}

// NewEncoder returns an Encoder that writes the actions of the instance to out.
func NewEncoder(out *bufio.Writer, instanceID int64) *Encoder {
	return &Encoder{out: out, instanceID: instanceID}
}

// beginLine starts a line with the name of the action and the instance ID.
func (e *Encoder) beginLine(name string) {
	e.line = append(append(append(e.line[:0], '[', '"'), name...), '"', ',')
	e.line = strconv.AppendInt(e.line, e.instanceID, 10)
}

func (e *Encoder) appendInteger(x uint64) { e.line = strconv.AppendUint(append(e.line, ','), x, 10) }

// appendSeconds appends a duration in seconds, rounded up to a microsecond.
func (e *Encoder) appendSeconds(d time.Duration) {
	micros := int64((d + time.Microsecond - 1) / time.Microsecond)
	e.line = append(e.line, ',')
	if micros < 0 {
		micros, e.line = -micros, append(e.line, '-')
	}
	e.line = strconv.AppendInt(e.line, micros/1e6, 10)
	if micros %= 1e6; micros != 0 {
		digits := [7]byte{'.'}
		for i := 6; i > 0; i-- {
			digits[i] = byte('0' + micros%10)
			micros /= 10
		}
		e.line = append(e.line, digits[:]...)
	}
}

// endLine completes and writes the line. The bufio.Writer keeps a write error and returns it from Flush.
func (e *Encoder) endLine() { _, _ = e.out.Write(append(e.line, ']', '\n')) }

// Send writes a "place" action, which sends an attempt at a job to a worker.
func (e *Encoder) Send(job balance.JobID, to balance.WorkerID, timeout time.Duration) {
	e.beginLine("place")
	e.appendInteger(uint64(job))
	e.appendInteger(uint64(to))
	e.appendSeconds(timeout)
	e.endLine()
}

// Cancel writes a "revoke" action, which cancels an attempt.
func (e *Encoder) Cancel(job balance.JobID, attempt int) {
	e.beginLine("revoke")
	e.appendInteger(uint64(job))
	e.appendInteger(uint64(attempt))
	e.endLine()
}

// Refuse writes a "reject" action, which refuses a job and tells the client when to retry.
func (e *Encoder) Refuse(job balance.JobID, backoff time.Duration) {
	e.beginLine("reject")
	e.appendInteger(uint64(job))
	e.appendSeconds(backoff)
	e.endLine()
}

// Fail writes a "fail" action, which ends a job without a result.
func (e *Encoder) Fail(job balance.JobID) {
	e.beginLine("fail")
	e.appendInteger(uint64(job))
	e.endLine()
}

// SetTimer writes a "wake_at" action, which sets a timer.
func (e *Encoder) SetTimer(after time.Duration, token uint64) {
	e.beginLine("wake_at")
	e.appendSeconds(after)
	e.appendInteger(token)
	e.endLine()
}

// Watch writes a "watch" action, which subscribes to membership updates.
func (e *Encoder) Watch() {
	e.beginLine("watch")
	e.line = append(e.line, ",true"...)
	e.endLine()
}

// Fetch writes a "reload" action, which requests the complete list of workers.
func (e *Encoder) Fetch() {
	e.beginLine("reload")
	e.endLine()
}

// SendToPeer writes a "notify" action, which sends data to one peer, or to all for balance.AllPeers.
func (e *Encoder) SendToPeer(to int, data []byte) {
	e.beginLine("notify")
	if to == balance.AllPeers {
		e.line = append(e.line, `,"all","`...)
	} else {
		e.line = strconv.AppendInt(append(e.line, ','), int64(to), 10)
		e.line = append(e.line, `,"`...)
	}
	e.line = append(base64.StdEncoding.AppendEncode(e.line, data), '"')
	e.endLine()
}

// Probe writes an "ask_load" action, which requests a load report from a worker.
func (e *Encoder) Probe(worker balance.WorkerID) {
	e.beginLine("ask_load")
	e.appendInteger(uint64(worker))
	e.endLine()
}

// Log writes a "trace" action, which logs a text.
func (e *Encoder) Log(text string) { e.writeText("trace", text) }

// Fault writes an "internal_error" action, which reports an error to the simulator.
func (e *Encoder) Fault(text string) { e.writeText("internal_error", text) }

// writeText writes an action with one string.
func (e *Encoder) writeText(name, text string) {
	quoted, err := json.Marshal(text)
	if err != nil {
		quoted = []byte(`"unprintable"`)
	}
	e.beginLine(name)
	e.line = append(append(e.line, ','), quoted...)
	e.endLine()
}
