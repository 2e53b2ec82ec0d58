package config

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/balance"
)

// facts reads the settings object, remembering the first key that is missing or
// of the wrong type. Unknown keys are left alone.
type facts struct {
	err    error
	within []string // where in the file the object that is read stands
}

func (f *facts) fail(key, why string) {
	if f.err == nil {
		f.err = &keyError{append(slices.Clone(f.within), key), why}
	}
}

// failAt is fail for a key of a nested object, by its path.
func (f *facts) failAt(path []string, why string) {
	if f.err == nil {
		f.err = &keyError{append(slices.Clone(f.within), path...), why}
	}
}

// element reads one element of an array.
func (f *facts) element(key string, i int, read func()) {
	outside := f.within
	f.within = append(slices.Clone(outside), key, strconv.Itoa(i))
	read()
	f.within = outside
}

func (f *facts) number(v *fastjson.Value, fallback float64, path ...string) float64 {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return fallback
	}
	n, err := x.Float64()
	if err != nil {
		f.failAt(path, "not a number")
	}
	return n
}

func (f *facts) seconds(v *fastjson.Value, path ...string) time.Duration {
	x := f.number(v, 0, path...)
	return time.Duration(math.Round(max(-3e7, min(x, 3e7))*1e6)) * time.Microsecond
}

func (f *facts) flag(v *fastjson.Value, path ...string) bool {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return false
	}
	b, err := x.Bool()
	if err != nil {
		f.failAt(path, "not true or false")
	}
	return b
}

func (f *facts) text(v *fastjson.Value, path ...string) string {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return ""
	}
	b, err := x.StringBytes()
	if err != nil {
		f.failAt(path, "not text")
	}
	return string(b)
}

func (f *facts) list(v *fastjson.Value, key string) []*fastjson.Value {
	x := v.Get(key)
	if x == nil || x.Type() == fastjson.TypeNull {
		return nil
	}
	a, err := x.Array()
	if err != nil {
		f.fail(key, "not an array")
	}
	return a
}

func (f *facts) names(v *fastjson.Value, key string) map[string]int {
	m := map[string]int{}
	for i, x := range f.list(v, key) {
		b, err := x.StringBytes()
		if err != nil {
			f.fail(key, "not text")
		}
		m[string(b)] = i
	}
	return m
}

var (
	effects = map[string]balance.Idempotency{"retryable": balance.Idempotent, "dedup": balance.Deduplicated,
		"fragile": balance.NonIdempotent}
	groups = map[string]balance.DedupScope{"": balance.ScopeFleet, "all": balance.ScopeFleet,
		"zone": balance.ScopeZone, "cell": balance.ScopeCell}
)

func (f *facts) class(v *fastjson.Value) balance.Class {
	effect, ok := effects[f.text(v, "repeat")]
	if !ok {
		f.fail("repeat", "unknown value")
	}
	group, ok := groups[f.text(v, "group")]
	if !ok {
		f.fail("group", "unknown value")
	}
	return balance.Class{Name: f.text(v, "name"), Target: f.seconds(v, "target_s"),
		Stretch: f.number(v, 0, "aim_stretch"), Deadline: f.seconds(v, "deadline_s"),
		Worth: f.number(v, 1, "value"), LateWorth: f.number(v, 0, "late_worth"), Idempotency: effect,
		DedupScope: group, DedupWindow: f.seconds(v, "memory_span_s"), Streaming: f.flag(v, "stream"), WorkerKind: -1}
}

// Names maps configured names to the numbers that balance.Settings uses for them.
type Names struct {
	Class, Zone, Kind, Tenant map[string]int
}

// ParseSettings reads the settings object: what the simulator sends in its first message and
// what a real dispatcher finds in its configuration. The seed is not part of it.
func ParseSettings(v *fastjson.Value) (*balance.Settings, *Names, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil, nil, errors.New("not an object")
	}
	f := &facts{within: []string{"settings"}}
	n := &Names{Class: map[string]int{}, Zone: f.names(v, "zones"), Kind: f.names(v, "kinds"),
		Tenant: map[string]int{}}
	s := f.settings(v)
	for i, c := range s.Classes {
		n.Class[c.Name] = i
	}
	for i, t := range s.Tenants {
		n.Tenant[t.Name] = i
	}
	zone, ok := n.Zone[f.text(v, "zone")]
	if !ok {
		zone = -1
	}
	s.Zone, s.WorkerKinds = zone, len(n.Kind)
	return s, n, f.err
}

func (f *facts) settings(v *fastjson.Value) *balance.Settings {
	s := &balance.Settings{
		Position: int(f.number(v, 0, "position")), FleetSize: int(f.number(v, 1, "fleet_size")),
		MaxAttempts: int(f.number(v, 1, "limits", "max_attempts")), AllowCancel: f.flag(v, "limits", "cancel"),
		AllowCopies: f.flag(v, "limits", "second_copies"), AllowProbes: f.flag(v, "limits", "probing"),
		AllowPeerMessages: f.flag(v, "limits", "peers"),
		ConnectTimeout:    f.seconds(v, "limits", "dial_timeout_s"), Tick: f.seconds(v, "tick_s"),
		PullInterval: f.seconds(v, "rules", "ask_within_s"), PullMembers: f.text(v, "discovery") == "ask",
		ColdCapacity: f.number(v, 1, "rules", "cold_from"), WarmUp: f.seconds(v, "rules", "warm_up_s"),
		OverloadFactor: f.number(v, 1, "rules", "overload_factor"), OverloadWindow: f.seconds(v, "rules", "fall_s"),
		ReportsStart: f.flag(v, "domain", "tells_start"), ProgressInterval: f.seconds(v, "domain", "progress_s"),
		IgnoreWeights: f.text(v, "weights") == "silent", OverQuotaWorth: f.number(v, 1, "over_share_worth"),
		CrossZonePrice: f.number(v, 0, "prices", "cross_zone"), WorthByWork: f.text(v, "counted_by") == "work",
		MaxRetryAfter: f.seconds(v, "limits", "max_retry_after_s"), ConnIdleTimeout: f.seconds(v, "limits", "conn_idle_s"),
		MaxOpenJobs: int(f.number(v, 0, "limits", "max_open")),
		TotalWeight: f.number(v, 0, "goal", "whole"), WorstClassWeight: f.number(v, 0, "goal", "worst_class"),
	}
	for i, c := range f.list(v, "classes") {
		f.element("classes", i, func() { s.Classes = append(s.Classes, f.class(c)) })
	}
	for i, t := range f.list(v, "accounts") {
		f.element("accounts", i, func() {
			s.Tenants = append(s.Tenants, balance.Tenant{Name: f.text(t, "name"), Quota: f.number(t, 0, "quota_rps")})
		})
	}
	if domain := v.Get("domain"); domain != nil {
		f.perClass(domain, "class_kind", s, func(c *balance.Class, x float64) { c.WorkerKind = int(x) })
		f.perClass(domain, "class_stretch", s, func(c *balance.Class, x float64) { c.Stretch = x })
		s.TracksMemory = domain.Exists("memory_unit")
	}
	return s
}

func (f *facts) perClass(v *fastjson.Value, key string, s *balance.Settings, set func(*balance.Class, float64)) {
	for i, x := range f.list(v, key) {
		n, err := x.Float64()
		if err != nil {
			f.fail(key, "not a number")
		}
		if i < len(s.Classes) {
			set(&s.Classes[i], n)
		}
	}
}
