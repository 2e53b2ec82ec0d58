package wire

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"time"

	"tinroute.example/tinroute/balance"
)

// instanceStart is the message that creates the instance of the tests.
const instanceStart = `["up",3,18446744073709551615,{"classes":[{"name":"clip","repeat":"dedup","group":"cell",` +
	`"memory_span_s":25,"target_s":0.3,"deadline_s":8,"value":5,"late_worth":0.2}],"zones":["a","b"],"zone":"b",` +
	`"kinds":["big","small"],"accounts":[{"name":"t1","quota_rps":4}],"fleet_size":3,"position":1,` +
	`"limits":{"max_attempts":4,"cancel":true,"dial_timeout_s":0.25},"domain":{"class_stretch":[1.75]},"new_key":{}}]`

// newStartedDecoder returns a decoder that has decoded instanceStart.
func newStartedDecoder(t testing.TB) *Decoder {
	t.Helper()
	d := NewDecoder()
	if _, err := d.Decode([]byte(instanceStart)); err != nil {
		t.Fatal(err)
	}
	return d
}

func TestDecodeSettings(t *testing.T) {
	d := NewDecoder()
	e, err := d.Decode([]byte(instanceStart))
	if err != nil {
		t.Fatal(err)
	}
	settings, class := e.Settings, e.Settings.Classes[0]
	if settings.Seed != 1<<64-1 || settings.FleetSize != 3 || settings.Position != 1 || settings.Zone != 1 || settings.MaxAttempts != 4 ||
		settings.ConnectTimeout != 250*time.Millisecond || settings.Tenants[0].Quota != 4 {
		t.Errorf("settings %+v", settings)
	}
	if class.Idempotency != balance.Deduplicated || class.DedupScope != balance.ScopeCell || class.DedupWindow != 25*time.Second || class.Stretch != 1.75 ||
		class.WorkerKind != -1 {
		t.Errorf("class %+v", class)
	}
}

func TestDecodeEvents(t *testing.T) {
	decoder := newStartedDecoder(t)
	for _, testCase := range []struct {
		line string
		ok   func(*Event) bool
	}{
		{`["frame",8.41225]`, func(e *Event) bool { return e.Now == 8412250*time.Microsecond }},
		{`["ask",3,958853012951492,"clip","t1","fn:k",0.24,0.012,2,null,3]`, func(e *Event) bool {
			j := e.Job
			return j.ID == 958853012951492 && j.Tenant == 0 && j.Key == "fn:k" && j.ClientTimeout == 240*time.Millisecond &&
				j.ExpectedWork == 12*time.Millisecond && j.Slots == 2
		}},
		{`["ask",3,1,"clip",null,null,0.24,0.5,null,null,0]`, func(e *Event) bool {
			return e.Job.ExpectedWork == 0 && e.Job.Slots == 1 && e.Job.Tenant == -1
		}},
		{`["attempt_end",3,9,"pass",0,77,null,0.0185,true,{"queue":3,"util":0.62,"x0":0.4}]`, func(e *Event) bool {
			r := e.Result
			return r.Status == balance.StatusOK && r.JobDone && r.Report.FreeSlots == 0.4 && r.Report.InFlight == -1
		}},
		{`["announce",3,"delta",4,[["DRAINING",1.5,"small",747,2,6.1,"a"]]]`, func(e *Event) bool {
			return len(e.Members) == 1 && e.Members[0] == balance.Member{ID: 747, State: balance.Draining,
				Weight: 1.5, Kind: 1, Zone: 0, Cell: 2, StartedAt: 6100 * time.Millisecond}
		}},
		{`["memo",3,2,"aGkgNw=="]`, func(e *Event) bool { return e.Peer == 2 && string(e.Data) == "hi 7" }},
		{`["note",3,9,0,77,2,0.5]`, func(e *Event) bool { return e.AttemptEvent == balance.EventProgress && e.Amount == 0.5 }},
		{`["alarm",3,9223372036854775807]`, func(e *Event) bool { return e.TimerToken == 1<<63-1 }},
		{`["probe_done",3,747,"too_slow",0.25,null]`, func(e *Event) bool {
			return e.Result.Status == balance.StatusTimeout && e.Result.Worker == 747
		}},
		{`["expired",3,9]`, func(e *Event) bool { return e.Job.ID == 9 }},
		{`["accepted",3,9,77,0.1,1]`, func(e *Event) bool { return e.Kind == StreamStarted && e.Result.Attempt == 1 }},
	} {
		e, err := decoder.Decode([]byte(testCase.line))
		if err != nil || !testCase.ok(e) {
			t.Errorf("%s: %+v, %v", testCase.line, e, err)
		}
	}
}

func TestDecodeErrorNamesMessageAndField(t *testing.T) {
	d := newStartedDecoder(t)
	for line, want := range map[string]string{
		`{`:                                   "malformed line",
		`{"a":1}`:                             "malformed line",
		`["huh",3]`:                           `unknown message "huh"`,
		`["ask",3,"x","clip",null,null,0.24]`: "ask: ticket",
		`["ask",3,7,"nope",null,null,0.24]`:   "ask: band",
		`["ask",3,7,"clip",null,null,null]`:   "ask: patience_left_s: missing",
		`["ask",4,7,"clip",null,null,1]`:      "ask: dispatcher_id: not up",
		`["attempt_end",3,9,"so-so",0,7,null,0,true]`: "attempt_end: ending",
		`["attempt_end",3,9,"pass",0,7,null,0,"x"]`:   "attempt_end: settled",
		`["announce",3,"how",1,[]]`:                   "announce: how",
		`["announce",3,"full",1,[["UP",1,null,7]]]`:   "announce: condition",
		`["memo",3,2,"*"]`:                            "memo: blob",
		`["up",5,1,null]`:                             "up: facts",
		`["up",5,1,{"classes":[{"repeat":"maybe"}]}]`: "facts: repeat",
		`["frame"]`: "frame: at_time_s: missing",
	} {
		if _, err := d.Decode([]byte(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", line, err, want)
		}
	}
}

func TestEncodeActions(t *testing.T) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	e := NewEncoder(w, 3)
	e.Send(958853012951492, 51530247, 80*time.Millisecond)
	e.Send(1, 2, 0)
	e.Cancel(5, 1)
	e.Refuse(6, 250*time.Millisecond)
	e.Fail(7)
	e.SetTimer(500*time.Millisecond, 77)
	e.Watch()
	e.Fetch()
	e.SendToPeer(balance.AllPeers, []byte("hi 7"))
	e.SendToPeer(4, []byte("hi 7"))
	e.Probe(8)
	e.Log("two \"servers\"\n")
	e.Fault("oh")
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want := `["place",3,958853012951492,51530247,0.080000]
["place",3,1,2,0]
["revoke",3,5,1]
["reject",3,6,0.250000]
["fail",3,7]
["wake_at",3,0.500000,77]
["watch",3,true]
["reload",3]
["notify",3,"all","aGkgNw=="]
["notify",3,4,"aGkgNw=="]
["ask_load",3,8]
["trace",3,"two \"servers\"\n"]
["internal_error",3,"oh"]
`
	if got := out.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// FuzzDecode checks that Decode returns an event for an arbitrary line and does not panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`["ask",3,1,"clip",null,null,0.24,0.5,null,null,0]`))
	f.Add([]byte(`["announce",3,"full",1,[["SERVING",1,"big",7,0,null,"a"]]]`))
	f.Add([]byte(instanceStart))
	f.Fuzz(func(t *testing.T, line []byte) {
		d := newStartedDecoder(t)
		e, err := d.Decode(line)
		if e == nil {
			t.Fatal("no event", err)
		}
	})
}
