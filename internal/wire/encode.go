package wire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"time"

	"tinroute.example/tinroute/balance"
)

// Encoder writes the actions of one instance as lines. It implements
// balance.Host.
type Encoder struct {
	out  *bufio.Writer
	inst int64
	line []byte
}

// NewEncoder returns an encoder for the instance.
func NewEncoder(out *bufio.Writer, inst int64) *Encoder { return &Encoder{out: out, inst: inst} }

func (e *Encoder) begin(name string) {
	e.line = append(append(append(e.line[:0], '[', '"'), name...), '"', ',')
	e.line = strconv.AppendInt(e.line, e.inst, 10)
}

func (e *Encoder) whole(x uint64) { e.line = strconv.AppendUint(append(e.line, ','), x, 10) }

func (e *Encoder) seconds(d time.Duration) {
	us := int64((d + time.Microsecond - 1) / time.Microsecond)
	e.line = append(e.line, ',')
	if us < 0 {
		us, e.line = -us, append(e.line, '-')
	}
	e.line = strconv.AppendInt(e.line, us/1e6, 10)
	if us %= 1e6; us != 0 {
		digits := [7]byte{'.'}
		for i := 6; i > 0; i-- {
			digits[i] = byte('0' + us%10)
			us /= 10
		}
		e.line = append(e.line, digits[:]...)
	}
}

// end writes the line. A failed write is remembered by the bufio.Writer and
// surfaces at the flush.
func (e *Encoder) end() { _, _ = e.out.Write(append(e.line, ']', '\n')) }

// Send writes a place.
func (e *Encoder) Send(job balance.JobID, to balance.WorkerID, timeout time.Duration) {
	e.begin("place")
	e.whole(uint64(job))
	e.whole(uint64(to))
	e.seconds(timeout)
	e.end()
}

// Cancel writes a revoke.
func (e *Encoder) Cancel(job balance.JobID, attempt int) {
	e.begin("revoke")
	e.whole(uint64(job))
	e.whole(uint64(attempt))
	e.end()
}

// Refuse writes a reject.
func (e *Encoder) Refuse(job balance.JobID, backoff time.Duration) {
	e.begin("reject")
	e.whole(uint64(job))
	e.seconds(backoff)
	e.end()
}

// Fail writes a fail.
func (e *Encoder) Fail(job balance.JobID) {
	e.begin("fail")
	e.whole(uint64(job))
	e.end()
}

// SetTimer writes a wake_at.
func (e *Encoder) SetTimer(after time.Duration, token uint64) {
	e.begin("wake_at")
	e.seconds(after)
	e.whole(token)
	e.end()
}

// Watch writes a watch.
func (e *Encoder) Watch() {
	e.begin("watch")
	e.line = append(e.line, ",true"...)
	e.end()
}

// Fetch writes a reload.
func (e *Encoder) Fetch() {
	e.begin("reload")
	e.end()
}

// SendToPeer writes a notify to one peer or to every one.
func (e *Encoder) SendToPeer(to int, data []byte) {
	e.begin("notify")
	if to == balance.AllPeers {
		e.line = append(e.line, `,"all","`...)
	} else {
		e.line = strconv.AppendInt(append(e.line, ','), int64(to), 10)
		e.line = append(e.line, `,"`...)
	}
	e.line = append(base64.StdEncoding.AppendEncode(e.line, data), '"')
	e.end()
}

// Probe writes an ask_load.
func (e *Encoder) Probe(w balance.WorkerID) {
	e.begin("ask_load")
	e.whole(uint64(w))
	e.end()
}

// Log writes a trace.
func (e *Encoder) Log(text string) { e.text("trace", text) }

// Fault writes an internal_error.
func (e *Encoder) Fault(text string) { e.text("internal_error", text) }

func (e *Encoder) text(name, text string) {
	quoted, err := json.Marshal(text)
	if err != nil {
		quoted = []byte(`"unprintable"`)
	}
	e.begin(name)
	e.line = append(append(e.line, ','), quoted...)
	e.end()
}
