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

// settingsReader reads values from the settings object and keeps an error for the first key that is
// missing or has the wrong type. Unknown keys are ignored.
type settingsReader struct {
	err  error
	path []string // of the object being read, from the document's root
}

func (r *settingsReader) fail(key, reason string) {
	if r.err == nil {
		r.err = &keyError{append(slices.Clone(r.path), key), reason}
	}
}

// failAtPath is like fail, for a key of a nested object given by its path.
func (r *settingsReader) failAtPath(path []string, reason string) {
	if r.err == nil {
		r.err = &keyError{append(slices.Clone(r.path), path...), reason}
	}
}

// readElement calls read with path set to that of an array's element.
func (r *settingsReader) readElement(key string, i int, read func()) {
	outer := r.path
	r.path = append(slices.Clone(outer), key, strconv.Itoa(i))
	read()
	r.path = outer
}

func (r *settingsReader) number(v *fastjson.Value, fallback float64, path ...string) float64 {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return fallback
	}
	n, err := x.Float64()
	if err != nil {
		r.failAtPath(path, "not a number")
	}
	return n
}

// seconds reads a number of seconds, clamped to 3e7 s (about a year) and rounded to microseconds.
func (r *settingsReader) seconds(v *fastjson.Value, path ...string) time.Duration {
	x := r.number(v, 0, path...)
	return time.Duration(math.Round(max(-3e7, min(x, 3e7))*1e6)) * time.Microsecond
}

func (r *settingsReader) boolean(v *fastjson.Value, path ...string) bool {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return false
	}
	b, err := x.Bool()
	if err != nil {
		r.failAtPath(path, "not true or false")
	}
	return b
}

func (r *settingsReader) text(v *fastjson.Value, path ...string) string {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return ""
	}
	b, err := x.StringBytes()
	if err != nil {
		r.failAtPath(path, "not text")
	}
	return string(b)
}

func (r *settingsReader) list(v *fastjson.Value, key string) []*fastjson.Value {
	x := v.Get(key)
	if x == nil || x.Type() == fastjson.TypeNull {
		return nil
	}
	a, err := x.Array()
	if err != nil {
		r.fail(key, "not an array")
	}
	return a
}

// nameIndexes reads an array of names and returns the index of each.
func (r *settingsReader) nameIndexes(v *fastjson.Value, key string) map[string]int {
	m := map[string]int{}
	for i, x := range r.list(v, key) {
		b, err := x.StringBytes()
		if err != nil {
			r.fail(key, "not text")
		}
		m[string(b)] = i
	}
	return m
}

var (
	idempotencyByName = map[string]balance.Idempotency{"retryable": balance.Idempotent, "dedup": balance.Deduplicated,
		"fragile": balance.NonIdempotent}
	scopeByName = map[string]balance.DedupScope{"": balance.ScopeFleet, "all": balance.ScopeFleet,
		"zone": balance.ScopeZone, "cell": balance.ScopeCell}
)

func (r *settingsReader) class(v *fastjson.Value) balance.Class {
	idempotency, ok := idempotencyByName[r.text(v, "repeat")]
	if !ok {
		r.fail("repeat", "unknown value")
	}
	scope, ok := scopeByName[r.text(v, "group")]
	if !ok {
		r.fail("group", "unknown value")
	}
	return balance.Class{Name: r.text(v, "name"), Target: r.seconds(v, "target_s"),
		Stretch: r.number(v, 0, "aim_stretch"), Deadline: r.seconds(v, "deadline_s"),
		Worth: r.number(v, 1, "value"), LateWorth: r.number(v, 0, "late_worth"), Idempotency: idempotency,
		DedupScope: scope, DedupWindow: r.seconds(v, "memory_span_s"), Streaming: r.boolean(v, "stream"), WorkerKind: -1}
}

// Names maps configured names to the indexes that balance.Settings uses for them.
type Names struct {
	Class, Zone, Kind, Tenant map[string]int
}

// ParseSettings reads the settings object, which the simulator sends in its first message and a real
// dispatcher finds in its configuration file. The seed is not part of it.
func ParseSettings(object *fastjson.Value) (*balance.Settings, *Names, error) {
	if object == nil || object.Type() != fastjson.TypeObject {
		return nil, nil, errors.New("not an object")
	}
	r := &settingsReader{path: []string{"settings"}}
	names := &Names{Class: map[string]int{}, Zone: r.nameIndexes(object, "zones"), Kind: r.nameIndexes(object, "kinds"),
		Tenant: map[string]int{}}
	settings := r.settings(object)
	for i, c := range settings.Classes {
		names.Class[c.Name] = i
	}
	for i, t := range settings.Tenants {
		names.Tenant[t.Name] = i
	}
	zone, ok := names.Zone[r.text(object, "zone")]
	if !ok {
		zone = -1
	}
	settings.Zone, settings.WorkerKinds = zone, len(names.Kind)
	return settings, names, r.err
}

func (r *settingsReader) settings(v *fastjson.Value) *balance.Settings {
	settings := &balance.Settings{
		Position: int(r.number(v, 0, "position")), FleetSize: int(r.number(v, 1, "fleet_size")),
		MaxAttempts: int(r.number(v, 1, "limits", "max_attempts")), AllowCancel: r.boolean(v, "limits", "cancel"),
		AllowCopies: r.boolean(v, "limits", "second_copies"), AllowProbes: r.boolean(v, "limits", "probing"),
		AllowPeerMessages: r.boolean(v, "limits", "peers"),
		ConnectTimeout:    r.seconds(v, "limits", "dial_timeout_s"), Tick: r.seconds(v, "tick_s"),
		PullInterval: r.seconds(v, "rules", "ask_within_s"), PullMembers: r.text(v, "discovery") == "ask",
		ColdCapacity: r.number(v, 1, "rules", "cold_from"), WarmUp: r.seconds(v, "rules", "warm_up_s"),
		OverloadFactor: r.number(v, 1, "rules", "overload_factor"), OverloadWindow: r.seconds(v, "rules", "fall_s"),
		ReportsStart: r.boolean(v, "domain", "tells_start"), ProgressInterval: r.seconds(v, "domain", "progress_s"),
		IgnoreWeights: r.text(v, "weights") == "silent", OverQuotaWorth: r.number(v, 1, "over_share_worth"),
		CrossZonePrice: r.number(v, 0, "prices", "cross_zone"), WorthByWork: r.text(v, "counted_by") == "work",
		MaxRetryAfter: r.seconds(v, "limits", "max_retry_after_s"), ConnIdleTimeout: r.seconds(v, "limits", "conn_idle_s"),
		MaxOpenJobs: int(r.number(v, 0, "limits", "max_open")),
		TotalWeight: r.number(v, 0, "goal", "whole"), WorstClassWeight: r.number(v, 0, "goal", "worst_class"),
	}
	for i, c := range r.list(v, "classes") {
		r.readElement("classes", i, func() { settings.Classes = append(settings.Classes, r.class(c)) })
	}
	for i, t := range r.list(v, "accounts") {
		r.readElement("accounts", i, func() {
			settings.Tenants = append(settings.Tenants, balance.Tenant{Name: r.text(t, "name"), Quota: r.number(t, 0, "quota_rps")})
		})
	}
	if domain := v.Get("domain"); domain != nil {
		r.perClass(domain, "class_kind", settings, func(c *balance.Class, x float64) { c.WorkerKind = int(x) })
		r.perClass(domain, "class_stretch", settings, func(c *balance.Class, x float64) { c.Stretch = x })
		settings.TracksMemory = domain.Exists("memory_unit")
	}
	return settings
}

// perClass reads an array of numbers, one for each class in the order of the settings.
func (r *settingsReader) perClass(v *fastjson.Value, key string, s *balance.Settings, set func(*balance.Class, float64)) {
	for i, x := range r.list(v, key) {
		n, err := x.Float64()
		if err != nil {
			r.fail(key, "not a number")
		}
		if i < len(s.Classes) {
			set(&s.Classes[i], n)
		}
	}
}
