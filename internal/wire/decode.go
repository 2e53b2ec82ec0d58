// Package wire implements the simulator's line protocol. It decodes input lines into events for a
// balancer and encodes the balancer's actions as output lines.
package wire

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/config"
)

// Kind is the type of an input message.
type Kind uint8

// The types of input messages. A frame is a batch of messages that share one time. All other messages are
// addressed to an instance, which is one balancer.
const (
	FrameStart       Kind = iota // sets the time of the frame
	FrameEnd                     // the simulator waits for the actions
	InstanceStart                // creates an instance with its settings
	InstanceStop                 // removes an instance
	MembershipUpdate             // the complete list of workers, or changes to it
	JobSubmitted
	StreamStarted // a worker has begun to return the result of an attempt
	AttemptDone
	ClientGone
	TimerFired
	PeerMessage // from another instance
	ProbeDone
	AttemptEvent // progress or another event of an attempt in flight
)

// messageKinds maps the name of a message to its type.
var messageKinds = map[string]Kind{
	"frame":       FrameStart,
	"over_to_you": FrameEnd,
	"up":          InstanceStart,
	"kill":        InstanceStop,
	"announce":    MembershipUpdate,
	"ask":         JobSubmitted,
	"accepted":    StreamStarted,
	"attempt_end": AttemptDone,
	"expired":     ClientGone,
	"alarm":       TimerFired,
	"memo":        PeerMessage,
	"probe_done":  ProbeDone,
	"note":        AttemptEvent,
}

// Event is a decoded message. Kind determines which of the other fields are set.
type Event struct {
	Kind          Kind
	InstanceID    int64
	HasInstanceID bool
	Now           time.Duration      // FrameStart
	Settings      *balance.Settings  // InstanceStart
	Names         *config.Names      // InstanceStart: the names in Settings
	UpdateKind    balance.UpdateKind // MembershipUpdate
	Members       []balance.Member   // MembershipUpdate
	Job           balance.Job        // JobSubmitted; only the ID in other messages about a job
	Result        balance.AttemptResult
	AttemptEvent  balance.EventKind
	Amount        float64 // AttemptEvent
	TimerToken    uint64  // TimerFired
	Peer          int     // PeerMessage: the sender
	Data          []byte  // PeerMessage
}

// Decoder decodes lines. It reuses the memory of the Event that it returns, which is valid until the next
// call of Decode.
type Decoder struct {
	parser  fastjson.Parser
	event   Event
	names   map[int64]*config.Names // by instance ID
	fields  []*fastjson.Value       // of the current message or list entry
	message string                  // name of the current message, for errors
	err     error                   // the first error in the current message
}

// NewDecoder returns a Decoder without instances.
func NewDecoder() *Decoder { return &Decoder{names: map[int64]*config.Names{}} }

// Decode decodes one line. If it returns an error, the event still contains the instance ID if the line
// has a valid one.
func (d *Decoder) Decode(line []byte) (*Event, error) {
	members, data := d.event.Members[:0], d.event.Data[:0]
	d.event = Event{Members: members, Data: data}
	d.err, d.message, d.fields = nil, "message", nil
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
	kind, known := messageKinds[string(name)]
	if !known {
		if len(d.fields) > 1 {
			d.instanceID()
		}
		return &d.event, fmt.Errorf("unknown message %q", name)
	}
	d.event.Kind, d.message = kind, string(name)
	if kind == FrameStart {
		d.event.Now = d.seconds(1, "at_time_s", true)
		return &d.event, d.err
	}
	if kind != FrameEnd {
		d.instanceID()
		d.decodeBody()
	}
	return &d.event, d.err
}

// instanceID decodes the ID of the instance to which the message is addressed.
func (d *Decoder) instanceID() {
	d.event.InstanceID = d.integer(1, "dispatcher_id")
	d.event.HasInstanceID = d.err == nil
}

// decodeBody decodes the fields after the instance ID.
func (d *Decoder) decodeBody() {
	event := &d.event
	switch event.Kind {
	case InstanceStart:
		d.decodeInstanceStart()
	case InstanceStop:
		delete(d.names, event.InstanceID)
	case MembershipUpdate:
		d.decodeMembers()
	case JobSubmitted:
		d.decodeJob()
	case StreamStarted:
		event.Job.ID = balance.JobID(d.integer(2, "ticket"))
		event.Result.Worker = balance.WorkerID(d.integer(3, "runner"))
		event.Result.Attempt = int(d.integer(5, "send_no"))
	case AttemptDone:
		d.decodeAttemptDone()
	case ClientGone:
		event.Job.ID = balance.JobID(d.integer(2, "ticket"))
	case TimerFired:
		event.TimerToken = uint64(d.integer(2, "cookie"))
	case PeerMessage:
		event.Peer = int(d.integer(2, "neighbour"))
		d.decodeData(3, "blob")
	case ProbeDone:
		event.Result = balance.AttemptResult{Worker: balance.WorkerID(d.integer(2, "runner")), Status: d.decodeStatus(3),
			Elapsed: d.seconds(4, "duration_s", false), Report: d.decodeLoadReport(5)}
	case AttemptEvent:
		event.Job.ID = balance.JobID(d.integer(2, "ticket"))
		event.Result.Attempt = int(d.integer(3, "send_no"))
		event.Result.Worker = balance.WorkerID(d.integer(4, "runner"))
		event.AttemptEvent = balance.EventKind(d.integer(5, "kind"))
		event.Amount = d.number(6, "amount", false)
	}
}

func (d *Decoder) decodeInstanceStart() {
	settings, names, err := config.ParseSettings(d.field(3))
	if d.err == nil && err != nil {
		d.err = fmt.Errorf("%s: facts: %w", d.message, err)
	}
	if d.err != nil {
		return
	}
	settings.Seed = uint64(d.number(2, "random_seed", false))
	if seed := d.field(2); seed != nil {
		if exact, err := seed.Uint64(); err == nil {
			settings.Seed = exact
		}
	}
	if d.err == nil {
		d.names[d.event.InstanceID] = names
		d.event.Settings, d.event.Names = settings, names
	}
}

func (d *Decoder) decodeJob() {
	event, names := &d.event, d.names[d.event.InstanceID]
	if names == nil {
		d.fail("dispatcher_id", "not up")
		return
	}
	event.Job = balance.Job{ID: balance.JobID(d.integer(2, "ticket")), Class: d.index(3, "band", names.Class, true),
		Tenant: d.index(4, "tenant", names.Tenant, false), Key: string(d.text(5, "subject", false)),
		ClientTimeout: d.seconds(6, "patience_left_s", true), Slots: d.number(8, "slots", false),
		Memory: d.number(9, "mem", false)}
	if int(d.number(10, "attrs", false))&1 != 0 {
		event.Job.ExpectedWork = d.seconds(7, "work_hint_s", false)
	}
	if event.Job.Slots <= 0 {
		event.Job.Slots = 1
	}
	if event.Job.Memory < 0 {
		d.fail("mem", "negative")
	}
}

// statuses maps the outcome of an attempt in a message to a status.
var statuses = map[string]balance.Status{
	"pass": balance.StatusOK, "fault": balance.StatusError, "no_room": balance.StatusFull,
	"too_slow": balance.StatusTimeout, "no_route": balance.StatusUnreachable, "cut": balance.StatusReset,
	"undone": balance.StatusCancelled, "stale_send": balance.StatusNotSent,
}

func (d *Decoder) decodeStatus(i int) balance.Status {
	text := d.text(i, "ending", true)
	s, ok := statuses[string(text)]
	if !ok {
		d.fail("ending", fmt.Sprintf("unknown value %q", text))
	}
	return s
}

func (d *Decoder) decodeAttemptDone() {
	jobDone := d.field(8)
	d.event.Result = balance.AttemptResult{Job: balance.JobID(d.integer(2, "ticket")), Status: d.decodeStatus(3),
		Attempt: int(d.integer(4, "send_no")), Worker: balance.WorkerID(d.integer(5, "runner")),
		Elapsed: d.seconds(7, "duration_s", false), JobDone: jobDone != nil && jobDone.Type() == fastjson.TypeTrue,
		Report: d.decodeLoadReport(9)}
	if jobDone != nil && jobDone.Type() != fastjson.TypeTrue && jobDone.Type() != fastjson.TypeFalse {
		d.fail("settled", "not true or false")
	}
}

func (d *Decoder) decodeLoadReport(i int) balance.LoadReport {
	report := balance.NoLoadReport()
	v := d.field(i)
	if v == nil {
		return report
	}
	object, err := v.Object()
	if err != nil {
		d.fail("gauge", "not an object")
		return report
	}
	object.Visit(func(key []byte, v *fastjson.Value) {
		number, err := v.Float64()
		if err != nil {
			return
		}
		switch string(key) {
		case "inflight":
			report.InFlight = number
		case "queue":
			report.Queue = number
		case "util":
			report.Util = number
		case "eps":
			report.ErrorRate = number
		case "x0":
			report.FreeSlots = number
		case "x1":
			report.FreeMemory = number
		}
	})
	return report
}

var (
	updateKinds = map[string]balance.UpdateKind{"delta": balance.UpdateDelta, "full": balance.UpdateFull,
		"cached": balance.UpdateCached, "failed": balance.UpdateFailed}
	workerStates = map[string]balance.WorkerState{"SERVING": balance.Serving, "DRAINING": balance.Draining,
		"DELETED": balance.Gone}
)

func (d *Decoder) decodeMembers() {
	event, names := &d.event, d.names[d.event.InstanceID]
	kindName := d.text(2, "how", true)
	kind, ok := updateKinds[string(kindName)]
	if !ok {
		d.fail("how", fmt.Sprintf("unknown value %q", kindName))
	}
	if names == nil {
		d.fail("dispatcher_id", "not up")
	}
	event.UpdateKind = kind
	value := d.field(4)
	if value == nil || d.err != nil {
		return
	}
	items, err := value.Array()
	if err != nil {
		d.fail("items", "not an array")
		return
	}
	messageFields := d.fields // the methods that read a field read from d.fields
	for _, item := range items {
		if d.fields, err = item.Array(); err != nil {
			d.fail("items", "entry is not an array")
			break
		}
		text := d.text(0, "condition", true)
		state, ok := workerStates[string(text)]
		if !ok {
			d.fail("condition", fmt.Sprintf("unknown value %q", text))
		}
		event.Members = append(event.Members, balance.Member{State: state, Weight: d.number(1, "heft", false),
			Kind: d.index(2, "family_type", names.Kind, false), ID: balance.WorkerID(d.integer(3, "runner")),
			Cell: int(d.number(4, "cohort", false)), StartedAt: d.seconds(5, "ready_at_s", false),
			Zone: d.index(6, "zone", names.Zone, false)})
	}
	d.fields = messageFields
}
