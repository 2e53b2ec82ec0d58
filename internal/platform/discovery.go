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
	// A watch whose peer goes silent can be recognized only by the missing response at the end of
	// its wait: with a wait of 20 s a fleet of 324 dispatchers saw no changes for 17 s, while six in
	// ten workers were replaced. So a watch waits for at most maxWatch while discovery responds. Since
	// shorter watches mean more calls, each failed call doubles that limit, up to
	// maxWatchAfterFailures.
	maxWatch              = 4 * time.Second
	maxWatchAfterFailures = 20 * time.Second
	// watchPerDispatcher times the number of dispatchers in the fleet is a further limit on the
	// watches after failed calls: a few dispatchers cause little load, and a long watch that goes
	// silent after a failed call is noticed too late.
	watchPerDispatcher = 60 * time.Millisecond
	// callTimeout is the timeout of a call that does not wait for changes. Discovery handles calls
	// one after another, and rejects those that have waited for 2 s.
	callTimeout = 2500 * time.Millisecond
	// watchSlack is how long a watch's response may take beyond its wait. A change that a watch
	// misses counts as known to the dispatcher 2 s after that wait, so before then a silent watch
	// must be abandoned and a new call answered.
	watchSlack = time.Second
)

// errTimeout is returned by a call that has timed out.
var errTimeout = errors.New("no response")

// DiscoveryClient fetches and watches discovery's worker list for the core. It implements
// dispatch.Discovery.
//
// A subscription is a chain of calls. The first one does not wait for changes, so that the balancer
// has a list at once. Each further call follows the previous response without a pause, since
// discovery continues a watch only within 200 ms.
type DiscoveryClient struct {
	core     *dispatch.Core
	log      *slog.Logger
	names    *config.Names
	dial     link.DialFunc
	requests chan bool // true to watch, false to fetch

	mu          sync.Mutex
	nextAddr    string             // the address to use from now on
	addrChanges int                // how often the address has been set
	cancelCalls context.CancelFunc // cancels the calls to the previous address

	// The fields below are used by Run's goroutine only.
	appliedChanges        int           // value of addrChanges when addr was last updated
	maxWatch              time.Duration // the longest watch while no calls fail
	maxWatchAfterFailures time.Duration // the longest watch after failed calls
	backoff               int           // how often maxWatch is doubled: one more for each failed call, one less for each success
	addr                  string
	version               int64 // of the current list
	hasList               bool  // a list has been received from addr; version 0 does not mean that there is none
	conn                  net.Conn
	framer                link.Framer[Message]
}

// NewDiscoveryClient returns a client that calls discovery at addr once Run is called.
func NewDiscoveryClient(core *dispatch.Core, log *slog.Logger, names *config.Names, dial link.DialFunc, addr string) *DiscoveryClient {
	limit := maxWatch
	// After PullInterval the platform's rules count a change as known to the dispatcher.
	if interval := core.Settings().PullInterval; interval > 0 {
		limit = min(limit, interval*2/5)
	}
	limitAfterFailures := min(maxWatchAfterFailures, max(limit, time.Duration(core.Settings().FleetSize)*watchPerDispatcher))
	return &DiscoveryClient{core: core, log: log, names: names, dial: dial, addr: addr, nextAddr: addr,
		maxWatch: limit, maxWatchAfterFailures: limitAfterFailures, requests: make(chan bool, 2)}
}

// SetAddr makes the client call discovery at another address from now on. It immediately requests the
// complete list, since the versions of two discovery servers cannot be compared. The current list stays
// in use until then, and later responses of the old address are dropped.
func (c *DiscoveryClient) SetAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.nextAddr {
		c.nextAddr = addr
		c.addrChanges++
		if c.cancelCalls != nil {
			c.cancelCalls()
		}
	}
}

// applyAddr switches to the address last set and returns a context that is cancelled when the address
// changes again. changed reports whether the address has been set since the last call.
func (c *DiscoveryClient) applyAddr(ctx context.Context) (callCtx context.Context, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	callCtx, c.cancelCalls = context.WithCancel(ctx)
	// Changing the address and back leaves it as it was, but has cancelled the watch.
	if changed = c.appliedChanges != c.addrChanges; changed {
		c.appliedChanges, c.addr, c.version, c.hasList = c.addrChanges, c.nextAddr, 0, false
		if c.conn != nil {
			_ = c.conn.Close()
			c.conn = nil
		}
	}
	return callCtx, changed
}

// Watch subscribes to changes of the list.
func (c *DiscoveryClient) Watch() { c.enqueue(true) }

// Fetch requests the complete list.
func (c *DiscoveryClient) Fetch() { c.enqueue(false) }

// enqueue queues a call for Run. If two calls are queued already, it does nothing.
func (c *DiscoveryClient) enqueue(watch bool) {
	select {
	case c.requests <- watch:
	default:
	}
}

// LoadCached gives the core the cached worker list, in discovery's format. If there is none,
// the core gets an empty list, since the balancer would otherwise never request one.
func (c *DiscoveryClient) LoadCached(cached []byte) error {
	var list []dispatch.Worker
	if len(cached) > 0 {
		var err error
		if _, list, err = c.parseList(cached); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	c.core.UpdateMembers(balance.UpdateCached, list)
	return nil
}

// Run makes the requested calls until the context ends.
func (c *DiscoveryClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, changed := c.applyAddr(ctx)
		if changed {
			c.subscribe(callCtx)
		}
		for callCtx.Err() == nil {
			select {
			case <-callCtx.Done():
			case watch := <-c.requests:
				if watch {
					c.subscribe(callCtx)
				} else if err := c.callAndUpdate(callCtx, false, 0); err != nil && callCtx.Err() == nil {
					c.handleFailure(err)
				}
			}
		}
	}
}

// subscribe watches until discovery rejects a call or cannot be reached, or the context ends. A watch
// that goes silent or is disconnected is opened again at once: that does not mean that discovery
// fails, and the changes that the watch misses soon count as known to the dispatcher.
func (c *DiscoveryClient) subscribe(ctx context.Context) {
	for c.catchUp(ctx) {
		err := c.callAndUpdate(ctx, true, c.watchWait())
		for err == nil {
			err = c.callAndUpdate(ctx, true, c.watchWait())
		}
		if ctx.Err() != nil {
			return
		}
		if !isConnError(err) {
			c.handleFailure(err)
			return
		}
		c.log.Info("discovery watch lost; opening a new one", "err", err)
	}
}

// catchUp makes a call that does not wait for changes, and reports whether it succeeded.
func (c *DiscoveryClient) catchUp(ctx context.Context) bool {
	err := c.callAndUpdate(ctx, c.hasList, 0)
	if err != nil && ctx.Err() == nil {
		c.handleFailure(err)
	}
	return err == nil
}

// handleFailure reports a failed call to the core, and makes later watches longer: shorter ones mean
// more calls.
func (c *DiscoveryClient) handleFailure(err error) {
	c.log.Warn("discovery call failed; keeping the current worker list", "err", err)
	c.core.DiscoveryFailed()
	if c.maxWatch<<c.backoff < c.maxWatchAfterFailures {
		c.backoff++
	}
}

// isConnError reports whether a watch failed because of its connection, and not because of a response.
func isConnError(err error) bool {
	statusErr := (*statusError)(nil)
	listErr := (*invalidListError)(nil)
	return !errors.As(err, &statusErr) && !errors.As(err, &listErr)
}

// statusError is the error of a call that discovery rejected.
type statusError struct{ code int }

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.code) }

// invalidListError is the error of a call whose response holds no valid list.
type invalidListError struct{ error }

func (e *invalidListError) Unwrap() error { return e.error }

// watchWait returns the wait of the next watch: a random time between half and all of the current
// maximum. Without this jitter, dispatchers that started together, or lost their watches together,
// would call discovery again at the same time.
func (c *DiscoveryClient) watchWait() time.Duration {
	maxWait := min(c.maxWatch<<c.backoff, c.maxWatchAfterFailures)
	return maxWait/2 + rand.N(maxWait/2)
}

// callAndUpdate makes one call and passes its list to the core. A response is ignored if the address
// has changed meanwhile.
func (c *DiscoveryClient) callAndUpdate(ctx context.Context, watch bool, wait time.Duration) error {
	full, list, err := c.fetchList(ctx, watch, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	c.backoff = max(0, c.backoff-1)
	kind := balance.UpdateDelta
	if full {
		kind = balance.UpdateFull
	}
	if full || len(list) > 0 || wait == 0 {
		c.log.Info("worker list received", "version", c.version, "full", full, "entries", len(list))
		c.core.UpdateMembers(kind, list)
	}
	return nil
}

// fetchList makes one call and parses its response. A connection kept from an earlier call may have
// been closed meanwhile. Since calls are idempotent, a call without a wait that fails on such a
// connection is retried on a new one.
func (c *DiscoveryClient) fetchList(ctx context.Context, watch bool, wait time.Duration) (bool, []dispatch.Worker, error) {
	path := pathTargets
	if watch {
		path += "?after=" + strconv.FormatInt(c.version, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	timeout := callTimeout
	if wait > 0 {
		timeout = wait + watchSlack
	}
	reused := c.conn != nil
	m, err := c.call(ctx, path, timeout)
	if err != nil && reused && wait == 0 && ctx.Err() == nil && !errors.Is(err, errTimeout) {
		m, err = c.call(ctx, path, timeout)
	}
	if err != nil {
		return false, nil, err
	}
	if m.Response.StatusCode != 200 {
		return false, nil, &statusError{m.Response.StatusCode}
	}
	full, list, err := c.parseList(m.Body)
	if err != nil {
		return false, nil, &invalidListError{err}
	}
	return full, list, nil
}

// call sends one request to discovery and returns its response, or an error after timeout.
func (c *DiscoveryClient) call(ctx context.Context, path string, timeout time.Duration) (m *Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.conn == nil {
		if c.conn, err = c.dial(ctx, "tcp", c.addr); err != nil {
			c.conn = nil
			return nil, err
		}
		c.framer = NewResponseFramer()
	}
	conn := c.conn
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() {
		if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = fmt.Errorf("%w within %v", errTimeout, timeout)
		}
		if err != nil || m.Close || c.framer.Partial() { // surplus bytes do not belong to the next response
			_ = conn.Close()
			c.conn = nil
		}
	}()
	if _, err = conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + c.addr + "\r\n\r\n")); err != nil {
		return nil, err
	}
	buf := make([]byte, 4<<10)
	for {
		n, readErr := conn.Read(buf)
		c.framer.Feed(buf[:n])
		if m, err = c.framer.Next(); m != nil || err != nil {
			return m, err
		}
		if readErr != nil {
			if m, err = c.framer.End(); m == nil && err == nil {
				err = readErr
			}
			return m, err
		}
	}
}

// workerStates maps the worker states in discovery's list to the balancer's.
var workerStates = map[string]balance.WorkerState{"SERVING": balance.Serving, "DRAINING": balance.Draining,
	"DELETED": balance.Gone}

// parseList parses a list in discovery's format and records its version.
func (c *DiscoveryClient) parseList(data []byte) (full bool, list []dispatch.Worker, err error) {
	response, err := fastjson.ParseBytes(data)
	if err != nil {
		return false, nil, err
	}
	version := response.Get("version")
	if version == nil || version.Type() != fastjson.TypeNumber {
		return false, nil, errors.New("version: not a number")
	}
	servers := response.Get("servers")
	if servers == nil || servers.Type() != fastjson.TypeArray {
		return false, nil, errors.New("servers: not an array")
	}
	for _, entry := range servers.GetArray() {
		name, state := string(entry.GetStringBytes("id")), string(entry.GetStringBytes("state"))
		workerState, ok := workerStates[state]
		if name == "" || !ok {
			return false, nil, fmt.Errorf("servers: id %.40q, state %.40q", name, state)
		}
		list = append(list, dispatch.Worker{Name: name, Addr: string(entry.GetStringBytes("addr")), Member: balance.Member{
			ID: dispatch.WorkerIDFromName(name), State: workerState, Weight: entry.GetFloat64("weight"),
			Kind: indexByName(c.names.Kind, entry.GetStringBytes("kind")), Zone: indexByName(c.names.Zone, entry.GetStringBytes("zone")),
			Cell: entry.GetInt("cell"), StartedAt: time.Duration(entry.GetFloat64("started_ms") * 1e6)}})
	}
	c.version, c.hasList = response.GetInt64("version"), true
	return response.GetBool("full"), list, nil
}

// indexByName returns the index of name in m, or -1 if it is unknown.
func indexByName(m map[string]int, name []byte) int {
	if i, ok := m[string(name)]; ok {
		return i
	}
	return -1
}
