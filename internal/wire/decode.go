// Package wire speaks the simulator's line protocol: it turns lines into events
// and actions into lines, and decides nothing.
package wire

import (
	"encoding/base64"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/config"
)

// Kind is the name of an input message.
type Kind uint8

// The input messages.
const (
	Frame Kind = iota
	End
	Up
	Kill
	Members
	Request
	First
	Outcome
	Gone
	Timer
	Peer
	Probed
	Note
)

var kinds = map[string]Kind{
	"frame": Frame, "over_to_you": End, "up": Up, "kill": Kill, "announce": Members, "ask": Request,
	"accepted": First, "attempt_end": Outcome, "expired": Gone, "alarm": Timer, "memo": Peer,
	"probe_done": Probed, "note": Note,
}

// Event is one decoded line. Which fields hold something depends on Kind.
type Event struct {
	Kind     Kind
	Inst     int64
	HasInst  bool
	Now      time.Duration
	Settings *balance.Settings
	Names    *config.Names
	List     balance.UpdateKind
	Members  []balance.Member
	Job      balance.Job
	Result   balance.AttemptResult
	Note     balance.EventKind
	Amount   float64
	Token    uint64
	From     int
	Data     []byte
}

// Decoder decodes lines, reusing its memory: an Event is valid until the next
// call.
type Decoder struct {
	parser fastjson.Parser
	event  Event
	names  map[int64]*config.Names
	fields []*fastjson.Value
	what   string
	err    error
}

// NewDecoder returns a decoder that knows no instance yet.
func NewDecoder() *Decoder { return &Decoder{names: map[int64]*config.Names{}} }

// Decode reads one line. On an error the event still carries the instance where
// the line named one.
func (d *Decoder) Decode(line []byte) (*Event, error) {
	members, data := d.event.Members[:0], d.event.Data[:0]
	d.event = Event{Members: members, Data: data}
	d.err, d.what, d.fields = nil, "message", nil
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return &d.event, fmt.Errorf("malformed line: %w", err)
	}
	if d.fields, err = v.Array(); err != nil || len(d.fields) == 0 {
		return &d.event, fmt.Errorf("malformed line: not a message: %.60q", line)
	}
	name, err := d.fields[0].StringBytes()
	if err != nil {
		return &d.event, fmt.Errorf("malformed line: message name: %w", err)
	}
	kind, known := kinds[string(name)]
	if !known {
		if len(d.fields) > 1 {
			d.inst()
		}
		return &d.event, fmt.Errorf("unknown message %q", name)
	}
	d.event.Kind, d.what = kind, string(name)
	if kind == Frame {
		d.event.Now = d.seconds(1, "at_time_s", true)
		return &d.event, d.err
	}
	if kind != End {
		d.inst()
		d.body()
	}
	return &d.event, d.err
}

func (d *Decoder) inst() {
	d.event.Inst = d.whole(1, "dispatcher_id")
	d.event.HasInst = d.err == nil
}

func (d *Decoder) body() {
	e := &d.event
	switch e.Kind {
	case Up:
		d.up()
	case Kill:
		delete(d.names, e.Inst)
	case Members:
		d.members()
	case Request:
		d.request()
	case First:
		e.Job.ID = balance.JobID(d.whole(2, "ticket"))
		e.Result.Worker = balance.WorkerID(d.whole(3, "runner"))
		e.Result.Attempt = int(d.whole(5, "send_no"))
	case Outcome:
		d.outcome()
	case Gone:
		e.Job.ID = balance.JobID(d.whole(2, "ticket"))
	case Timer:
		e.Token = uint64(d.whole(2, "cookie"))
	case Peer:
		e.From = int(d.whole(2, "neighbour"))
		d.bytes(3, "blob")
	case Probed:
		e.Result = balance.AttemptResult{Worker: balance.WorkerID(d.whole(2, "runner")), Status: d.status(3),
			Elapsed: d.seconds(4, "duration_s", false), Report: d.report(5)}
	case Note:
		e.Job.ID = balance.JobID(d.whole(2, "ticket"))
		e.Result.Attempt = int(d.whole(3, "send_no"))
		e.Result.Worker = balance.WorkerID(d.whole(4, "runner"))
		e.Note = balance.EventKind(d.whole(5, "kind"))
		e.Amount = d.number(6, "amount", false)
	}
}

func (d *Decoder) up() {
	s, names, err := config.ParseSettings(d.at(3))
	if d.err == nil && err != nil {
		d.err = fmt.Errorf("%s: facts: %w", d.what, err)
	}
	if d.err != nil {
		return
	}
	s.Seed = uint64(d.number(2, "random_seed", false))
	if seed := d.at(2); seed != nil {
		if exact, err := seed.Uint64(); err == nil {
			s.Seed = exact
		}
	}
	if d.err == nil {
		d.names[d.event.Inst] = names
		d.event.Settings, d.event.Names = s, names
	}
}

func (d *Decoder) request() {
	e, n := &d.event, d.names[d.event.Inst]
	if n == nil {
		d.fail("dispatcher_id", "not up")
		return
	}
	e.Job = balance.Job{ID: balance.JobID(d.whole(2, "ticket")), Class: d.name(3, "band", n.Class, true),
		Tenant: d.name(4, "tenant", n.Tenant, false), Key: string(d.text(5, "subject", false)),
		ClientTimeout: d.seconds(6, "patience_left_s", true), Slots: d.number(8, "slots", false),
		Memory: d.number(9, "mem", false)}
	if int(d.number(10, "attrs", false))&1 != 0 {
		e.Job.ExpectedWork = d.seconds(7, "work_hint_s", false)
	}
	if e.Job.Slots <= 0 {
		e.Job.Slots = 1
	}
	if e.Job.Memory < 0 {
		d.fail("mem", "negative")
	}
}

var statuses = map[string]balance.Status{
	"pass": balance.StatusOK, "fault": balance.StatusError, "no_room": balance.StatusFull,
	"too_slow": balance.StatusTimeout, "no_route": balance.StatusUnreachable, "cut": balance.StatusReset,
	"undone": balance.StatusCancelled, "stale_send": balance.StatusNotSent,
}

func (d *Decoder) status(i int) balance.Status {
	text := d.text(i, "ending", true)
	s, ok := statuses[string(text)]
	if !ok {
		d.fail("ending", fmt.Sprintf("unknown value %q", text))
	}
	return s
}

func (d *Decoder) outcome() {
	closed := d.at(8)
	d.event.Result = balance.AttemptResult{Job: balance.JobID(d.whole(2, "ticket")), Status: d.status(3),
		Attempt: int(d.whole(4, "send_no")), Worker: balance.WorkerID(d.whole(5, "runner")),
		Elapsed: d.seconds(7, "duration_s", false), JobDone: closed != nil && closed.Type() == fastjson.TypeTrue,
		Report: d.report(9)}
	if closed != nil && closed.Type() != fastjson.TypeTrue && closed.Type() != fastjson.TypeFalse {
		d.fail("settled", "not true or false")
	}
}

func (d *Decoder) report(i int) balance.LoadReport {
	r := balance.NoLoadReport()
	v := d.at(i)
	if v == nil {
		return r
	}
	o, err := v.Object()
	if err != nil {
		d.fail("gauge", "not an object")
		return r
	}
	o.Visit(func(key []byte, v *fastjson.Value) {
		x, err := v.Float64()
		if err != nil {
			return
		}
		switch string(key) {
		case "inflight":
			r.InFlight = x
		case "queue":
			r.Queue = x
		case "util":
			r.Util = x
		case "eps":
			r.ErrorRate = x
		case "x0":
			r.FreeSlots = x
		case "x1":
			r.FreeMemory = x
		}
	})
	return r
}

var (
	lists = map[string]balance.UpdateKind{"delta": balance.UpdateDelta, "full": balance.UpdateFull,
		"cached": balance.UpdateCached, "failed": balance.UpdateFailed}
	conditions = map[string]balance.WorkerState{"SERVING": balance.Serving, "DRAINING": balance.Draining,
		"DELETED": balance.Gone}
)

func (d *Decoder) members() {
	e, n := &d.event, d.names[d.event.Inst]
	how := d.text(2, "how", true)
	kind, ok := lists[string(how)]
	if !ok {
		d.fail("how", fmt.Sprintf("unknown value %q", how))
	}
	if n == nil {
		d.fail("dispatcher_id", "not up")
	}
	e.List = kind
	v := d.at(4)
	if v == nil || d.err != nil {
		return
	}
	items, err := v.Array()
	if err != nil {
		d.fail("items", "not an array")
		return
	}
	outer := d.fields
	for _, item := range items {
		if d.fields, err = item.Array(); err != nil {
			d.fail("items", "entry is not an array")
			break
		}
		text := d.text(0, "condition", true)
		c, ok := conditions[string(text)]
		if !ok {
			d.fail("condition", fmt.Sprintf("unknown value %q", text))
		}
		e.Members = append(e.Members, balance.Member{State: c, Weight: d.number(1, "heft", false),
			Kind: d.name(2, "family_type", n.Kind, false), ID: balance.WorkerID(d.whole(3, "runner")),
			Cell: int(d.number(4, "cohort", false)), StartedAt: d.seconds(5, "ready_at_s", false),
			Zone: d.name(6, "zone", n.Zone, false)})
	}
	d.fields = outer
}

func (d *Decoder) fail(field, why string) {
	if d.err == nil {
		d.err = fmt.Errorf("%s: %s: %s", d.what, field, why)
	}
}

func (d *Decoder) at(i int) *fastjson.Value {
	if i >= len(d.fields) || d.fields[i].Type() == fastjson.TypeNull {
		return nil
	}
	return d.fields[i]
}

func (d *Decoder) number(i int, field string, must bool) float64 {
	v := d.at(i)
	if v == nil {
		if must {
			d.fail(field, "missing")
		}
		return 0
	}
	x, err := v.Float64()
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		d.fail(field, "not a number")
		return 0
	}
	return x
}

func (d *Decoder) whole(i int, field string) int64 {
	v := d.at(i)
	if v == nil {
		d.fail(field, "missing")
		return 0
	}
	x, err := v.Int64()
	if err != nil || x < 0 {
		d.fail(field, "not a whole number")
	}
	return x
}

// seconds bounds what it reads to about a year, so that sums cannot overflow.
func (d *Decoder) seconds(i int, field string, must bool) time.Duration {
	x := d.number(i, field, must)
	return time.Duration(math.Round(max(-3e7, min(x, 3e7))*1e6)) * time.Microsecond
}

func (d *Decoder) text(i int, field string, must bool) []byte {
	v := d.at(i)
	if v == nil {
		if must {
			d.fail(field, "missing")
		}
		return nil
	}
	if !must && v.Type() == fastjson.TypeNumber { // an absent name may be sent as 0
		return nil
	}
	b, err := v.StringBytes()
	if err != nil {
		d.fail(field, "not text")
	}
	return b
}

func (d *Decoder) name(i int, field string, m map[string]int, must bool) int {
	b := d.text(i, field, must)
	if b == nil {
		return -1
	}
	x, ok := m[string(b)]
	if !ok {
		d.fail(field, fmt.Sprintf("unknown name %q", b))
		return -1
	}
	return x
}

func (d *Decoder) bytes(i int, field string) {
	b := d.text(i, field, true)
	out, err := base64.StdEncoding.AppendDecode(d.event.Data, b)
	if err != nil {
		d.fail(field, "not base64")
	}
	d.event.Data = out
}
