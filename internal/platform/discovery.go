package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/link"
)

const (
	// A watch whose peer has fallen silent shows it by nothing but the lack of an answer at its
	// end: one held for 20 s left a fleet of 324 blind for 17 s while six in ten of its workers
	// were replaced. So a watch holds for watchShort at most while discovery answers; where it
	// fails calls each failure doubles that, up to watchLong, since shorter watches are more calls.
	watchShort = 4 * time.Second
	watchLong  = 20 * time.Second
	// A few dispatchers are no such load, and a long watch that falls silent after a failed call is not
	// seen in time: the longest watch is watchEach for each dispatcher of the fleet.
	watchEach = 60 * time.Millisecond
	// callWait is for the answer of a call that does not wait: discovery takes calls one after
	// another, and turns those away that have waited for 2 s.
	callWait = 2500 * time.Millisecond
	// watchSlack is for a watch's answer past its wait. What a watch misses counts as told 2 s
	// after its wait, so a silent one has to be given up, and a new call answered, before that.
	watchSlack = time.Second
)

// errSilent marks a call that nothing answered in time.
var errSilent = errors.New("no answer")

// DiscoveryClient keeps discovery by asking discovery. It implements dispatch.DiscoveryClient.
//
// A subscription is a chain of calls. The first does not wait, so that the balancer has
// its answer at once; each next one follows the last answer without a pause, since a watch
// is only continued within 200 ms.
type DiscoveryClient struct {
	core  *dispatch.Core
	log   *slog.Logger
	names *config.Names
	dial  link.DialFunc
	ask   chan bool // true to watch, false to fetch

	mu    sync.Mutex
	next  string             // where to ask from now on
	moves int                // how often that has changed
	leave context.CancelFunc // ends what is asked of the address before

	// The rest is Run's own.
	arrived int           // moves, when it last turned to the address to be asked
	short   time.Duration // the longest watch while discovery answers ...
	long    time.Duration // ... and the longest of all
	backoff int           // doublings of it, by failed calls since
	addr    string
	version int64 // of the list held
	held    bool  // a list of this address is held: discovery's first version may be 0
	conn    net.Conn
	framer  link.Framer[Message]
}

// NewDiscoveryClient returns a table that asks at the address once it runs.
func NewDiscoveryClient(core *dispatch.Core, log *slog.Logger, names *config.Names, dial link.DialFunc, addr string) *DiscoveryClient {
	short := watchShort
	if within := core.Settings().PullInterval; within > 0 { // past it the rules take a change for told
		short = min(short, within*2/5)
	}
	long := min(watchLong, max(short, time.Duration(core.Settings().FleetSize)*watchEach))
	return &DiscoveryClient{core: core, log: log, names: names, dial: dial, short: short, long: long, addr: addr, next: addr, ask: make(chan bool, 2)}
}

// SetAddr makes the table ask at another address from now on. It does so at once and for the
// whole list, since the versions of two discoveries cannot be compared. The list in use
// stays until then, and what the old address still says is dropped.
func (t *DiscoveryClient) SetAddr(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if addr != t.next {
		t.next = addr
		t.moves++
		if t.leave != nil {
			t.leave()
		}
	}
}

// arrive turns to the address to be asked and returns a context that ends when it is left.
func (t *DiscoveryClient) arrive(ctx context.Context) (here context.Context, moved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	here, t.leave = context.WithCancel(ctx)
	// A move there and back leaves the address as it was, but the watch has been given up.
	if moved = t.arrived != t.moves; moved {
		t.arrived, t.addr, t.version, t.held = t.moves, t.next, 0, false
		if t.conn != nil {
			_ = t.conn.Close()
			t.conn = nil
		}
	}
	return here, moved
}

// Watch subscribes to changes.
func (t *DiscoveryClient) Watch() { t.request(true) }

// Fetch asks for the whole list.
func (t *DiscoveryClient) Fetch() { t.request(false) }

func (t *DiscoveryClient) request(watch bool) {
	select {
	case t.ask <- watch:
	default: // two calls wait already
	}
}

// Start begins with the list as last held. Where there is none the balancer is told of an
// empty one, or it would never ask for a better.
func (t *DiscoveryClient) Start(known []byte) error {
	var list []dispatch.Worker
	if len(known) > 0 {
		var err error
		if _, list, err = t.read(known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	t.core.UpdateMembers(balance.UpdateCached, list)
	return nil
}

// Run asks until the context ends.
func (t *DiscoveryClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		here, moved := t.arrive(ctx)
		if moved {
			t.subscribe(here)
		}
		for here.Err() == nil {
			select {
			case <-here.Done():
			case watch := <-t.ask:
				if watch {
					t.subscribe(here)
				} else if err := t.once(here, false, 0); err != nil && here.Err() == nil {
					t.failed(err)
				}
			}
		}
	}
}

// subscribe watches until discovery turns a call away or cannot be reached, or the context ends. A
// watch that falls silent or is cut off is opened anew at once: that says nothing of discovery, and
// what it misses counts as told before long.
func (t *DiscoveryClient) subscribe(ctx context.Context) {
	for t.catchUp(ctx) {
		err := t.once(ctx, true, t.hold())
		for err == nil {
			err = t.once(ctx, true, t.hold())
		}
		if ctx.Err() != nil {
			return
		}
		if !broken(err) {
			t.failed(err)
			return
		}
		t.log.Info("watch broken", "err", err)
	}
}

// catchUp makes a call that does not wait, and tells whether it was answered.
func (t *DiscoveryClient) catchUp(ctx context.Context) bool {
	err := t.once(ctx, t.held, 0)
	if err != nil && ctx.Err() == nil {
		t.failed(err)
	}
	return err == nil
}

// failed tells the core that no list could be had, and has later watches hold for longer: shorter
// ones are more calls.
func (t *DiscoveryClient) failed(err error) {
	t.log.Warn("discovery unreachable", "err", err)
	t.core.DiscoveryFailed()
	if t.short<<t.backoff < t.long {
		t.backoff++
	}
}

// broken tells whether a watch ended by its connection, and not by an answer of discovery's.
func broken(err error) bool {
	refused := (*statusError)(nil)
	spoilt := (*spoiltError)(nil)
	return !errors.As(err, &refused) && !errors.As(err, &spoilt)
}

// statusError is a call that discovery turned away.
type statusError struct{ code int }

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.code) }

// spoiltError is an answer that is no list.
type spoiltError struct{ error }

func (e *spoiltError) Unwrap() error { return e.error }

// hold is how long the next watch is to be held: between half and all of what is allowed now, by
// lot, since dispatchers that started together, or lost their watches together, would otherwise
// come back together at each end.
func (t *DiscoveryClient) hold() time.Duration {
	most := min(t.short<<t.backoff, t.long)
	return most/2 + rand.N(most/2)
}

// once makes one call and tells the core of its answer. An answer that comes when its address has
// been left is old news and counts no more.
func (t *DiscoveryClient) once(ctx context.Context, watch bool, wait time.Duration) error {
	full, list, err := t.inquire(ctx, watch, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	t.backoff = max(0, t.backoff-1)
	how := balance.UpdateDelta
	if full {
		how = balance.UpdateFull
	}
	if full || len(list) > 0 || wait == 0 {
		t.log.Info("discovery", "version", t.version, "full", full, "entries", len(list))
		t.core.UpdateMembers(how, list)
	}
	return nil
}

// inquire makes one call. A connection kept from an earlier call may have been closed in
// the meantime: an inquiry repeats harmlessly, so it is made again on a new one.
func (t *DiscoveryClient) inquire(ctx context.Context, watch bool, wait time.Duration) (bool, []dispatch.Worker, error) {
	path := pathTable
	if watch {
		path += "?after=" + strconv.FormatInt(t.version, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	within := callWait
	if wait > 0 {
		within = wait + watchSlack
	}
	kept := t.conn != nil
	m, err := t.call(ctx, path, within)
	if err != nil && kept && wait == 0 && ctx.Err() == nil && !errors.Is(err, errSilent) {
		m, err = t.call(ctx, path, within)
	}
	if err != nil {
		return false, nil, err
	}
	if m.Response.StatusCode != 200 {
		return false, nil, &statusError{m.Response.StatusCode}
	}
	full, list, err := t.read(m.Body)
	if err != nil {
		return false, nil, &spoiltError{err}
	}
	return full, list, nil
}

func (t *DiscoveryClient) call(ctx context.Context, path string, within time.Duration) (m *Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if t.conn == nil {
		if t.conn, err = t.dial(ctx, "tcp", t.addr); err != nil {
			t.conn = nil
			return nil, err
		}
		t.framer = NewResponseFramer()
	}
	conn := t.conn
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() {
		if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = fmt.Errorf("%w within %v", errSilent, within)
		}
		if err != nil || m.Close || t.framer.Partial() { // what came beside the answer is none of the next call's
			_ = conn.Close()
			t.conn = nil
		}
	}()
	if _, err = conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + t.addr + "\r\n\r\n")); err != nil {
		return nil, err
	}
	buf := make([]byte, 4<<10)
	for {
		n, rerr := conn.Read(buf)
		t.framer.Feed(buf[:n])
		if m, err = t.framer.Next(); m != nil || err != nil {
			return m, err
		}
		if rerr != nil {
			if m, err = t.framer.End(); m == nil && err == nil {
				err = rerr
			}
			return m, err
		}
	}
}

var conditions = map[string]balance.WorkerState{"SERVING": balance.Serving, "DRAINING": balance.Draining,
	"DELETED": balance.Gone}

// read reads a list in discovery's form and notes its version.
func (t *DiscoveryClient) read(data []byte) (full bool, list []dispatch.Worker, err error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return false, nil, err
	}
	version := v.Get("version")
	if version == nil || version.Type() != fastjson.TypeNumber {
		return false, nil, errors.New("version: not a number")
	}
	servers := v.Get("servers")
	if servers == nil || servers.Type() != fastjson.TypeArray {
		return false, nil, errors.New("servers: not an array")
	}
	for _, e := range servers.GetArray() {
		name, state := string(e.GetStringBytes("id")), string(e.GetStringBytes("state"))
		condition, ok := conditions[state]
		if name == "" || !ok {
			return false, nil, fmt.Errorf("servers: id %.40q, state %.40q", name, state)
		}
		list = append(list, dispatch.Worker{Name: name, Addr: string(e.GetStringBytes("addr")), Member: balance.Member{
			ID: dispatch.WorkerIDFromName(name), State: condition, Weight: e.GetFloat64("weight"),
			Kind: named(t.names.Kind, e.GetStringBytes("kind")), Zone: named(t.names.Zone, e.GetStringBytes("zone")),
			Cell: e.GetInt("cell"), StartedAt: time.Duration(e.GetFloat64("started_ms") * 1e6)}})
	}
	t.version, t.held = v.GetInt64("version"), true
	return v.GetBool("full"), list, nil
}

func named(m map[string]int, name []byte) int {
	if i, ok := m[string(name)]; ok {
		return i
	}
	return -1
}
