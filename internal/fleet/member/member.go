// Package member is a dispatcher's side of its fleet: it asks the voters for leases and shares, over and
// over, and admits what its share allows, with no call on the way of a job. What it decides by is
// budget.Holder, which does no I/O; this package gives it the clock, the calls and the lock.
package member

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tinroute.example/tinroute/internal/fleet/budget"
	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/rpc"
)

// asks is how many times in a lease a member asks: a share outlives an outage of the ledger shorter
// than the lease less one period.
const asks = 4

// looks is how many times in a lease a member looks whether to ask early.
const looks = 20

// Options are a member's.
type Options struct {
	Name   string
	Fleet  string
	Terms  ledger.Terms
	Voters map[string]string    // addresses of the ledger's service by voter, as reached from here
	Rates  []string             // the budgets that are used here, by name
	Each   string               // the budget of connections at each worker, empty for none
	Clock  func() time.Duration // neither steps nor stands still in a suspend
	Log    *slog.Logger
}

// Member is a dispatcher's place in its fleet.
type Member struct {
	o       Options
	names   []string // of voters
	clients map[string]*rpc.Client
	at      int // the voter that is asked next
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu     sync.Mutex // guards the holder and what it holds
	holder *budget.Holder
	rates  []*budget.Rate // of Options.Rates
	each   *budget.Each   // of Options.Each
}

// Start joins the fleet in the background. Until the first grant nothing is admitted.
func Start(o Options) (*Member, error) {
	m := &Member{o: o, names: slices.Sorted(maps.Keys(o.Voters)), clients: map[string]*rpc.Client{},
		holder: budget.NewHolder(o.Fleet, o.Name, rand.Uint64(), o.Terms)} // #nosec: tells processes apart, no secret
	for name, addr := range o.Voters {
		c, err := rpc.Dial(addr, o.Terms.Lease/asks)
		if err != nil {
			_ = m.closeClients()
			return nil, err
		}
		m.clients[name] = c
	}
	for _, name := range o.Rates {
		m.rates = append(m.rates, m.holder.Rate(name))
	}
	if o.Each != "" {
		m.each = m.holder.Each(o.Each)
	}
	m.at = rand.IntN(len(m.names)) // #nosec: the first one listed must not be everyone's first
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.done.Go(func() { m.keep(ctx) })
	return m, nil
}

// Take asks rate i of Options.Rates for n thousandths: admitted, or in how long it could be, by what is
// granted now; never is true where that is not in sight.
func (m *Member) Take(i int, n int64) (ok bool, wait time.Duration, never bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rates[i].Take(m.o.Clock(), n)
}

// Acquire asks for one more connection to a worker; with Closed and Over it implements link.Limit.
func (m *Member) Acquire(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.each.Take(m.o.Clock(), addr)
}

// Release gives a connection back.
func (m *Member) Release(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.each.Give(addr)
}

// Excess is how many connections at a worker are to be closed.
func (m *Member) Excess(addr string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int((m.each.Over(m.o.Clock(), addr) + budget.Milli - 1) / budget.Milli)
}

// Use is how one of Options.Rates stands, in thousandths: the share a second, and what was admitted and
// denied since the start.
type Use struct {
	Budget              string
	Share, Used, Denied int64
}

// Uses tells how every rate stands.
func (m *Member) Uses() (all []Use) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock()
	for i, r := range m.rates {
		used, denied := r.Counts()
		all = append(all, Use{m.o.Rates[i], r.Holding(now), used, denied})
	}
	return all
}

// Leased tells whether the lease runs, and the version of the budgets last heard of.
func (m *Member) Leased() (leased bool, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.o.Clock() < m.holder.Ends(), m.holder.Version()
}

// keep asks until the context ends.
func (m *Member) keep(ctx context.Context) {
	period := m.o.Terms.Lease / asks
	var was struct {
		leased  bool
		version uint64
	}
	first := time.Now() // a start is no failure until a lease's time has gone by
	for ctx.Err() == nil {
		began := time.Now()
		m.mu.Lock()
		joining := m.holder.Incarnation() == 0
		next := m.holder.Next(m.o.Clock())
		m.mu.Unlock()
		a, err := m.do(ctx, period, next)
		if ctx.Err() != nil {
			return
		}
		m.mu.Lock()
		m.holder.Answered(m.o.Clock(), a, err)
		joined := m.holder.Incarnation()
		m.mu.Unlock()
		if joining && joined != 0 {
			m.o.Log.Info("joined the fleet", "fleet", m.o.Fleet, "incarnation", joined)
			continue // its first ask goes out at once
		}
		if leased, version := m.Leased(); leased && (!was.leased || version != was.version) {
			m.o.Log.Info("lease of the fleet's budgets", "version", version)
			was.leased, was.version, first = true, version, time.Time{}
		} else if !leased && (was.leased || !first.IsZero() && time.Since(first) > m.o.Terms.Lease) {
			m.o.Log.Warn("no lease of the fleet's budgets", "err", err)
			was.leased, first = false, time.Time{}
		}
		// Spread by lot: members that started together must not ask together for ever.
		wait := time.Duration(float64(period) * (0.9 + 0.2*rand.Float64())) // #nosec
		if err != nil {
			wait /= asks
		}
		m.rest(ctx, began.Add(wait), err == nil)
	}
}

// rest waits until the next ask is due, or early where the holder says so and the last ask was answered.
func (m *Member) rest(ctx context.Context, until time.Time, early bool) {
	tick := time.NewTicker(m.o.Terms.Lease / looks)
	defer tick.Stop()
	for ctx.Err() == nil && time.Now().Before(until) {
		select {
		case <-ctx.Done():
		case <-tick.C:
			m.mu.Lock()
			soon := early && m.holder.Early(m.o.Clock())
			m.mu.Unlock()
			if soon {
				return
			}
		}
	}
}

// do puts a command to the voters, the one that answered last first, and follows their word on who
// leads; one that does not answer in time is passed over for the next.
func (m *Member) do(ctx context.Context, within time.Duration, c ledger.Command) (a ledger.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	each := within / time.Duration(min(2, len(m.names))) // a silent voter leaves time for one more
	for range len(m.names) + 1 {
		one, done := context.WithTimeout(ctx, each)
		r, err := m.clients[m.names[m.at]].Do(one, c)
		done()
		if r.Final {
			return r.Answer, err
		}
		if at := slices.Index(m.names, r.Leader); at >= 0 && at != m.at {
			m.at = at
		} else {
			m.at = (m.at + 1) % len(m.names)
		}
		if ctx.Err() != nil {
			return a, err
		}
	}
	return a, errNobody
}

// errNobody is the answer where no voter leads, or none is reached.
var errNobody = errors.New("member: no voter has taken the ask")

// Close leaves the fleet, so that its share is free for others at once. Nothing may be admitted after it
// has been called.
func (m *Member) Close() error {
	m.stop()
	m.done.Wait()
	ended := m.connectionsEnded()
	m.mu.Lock()
	incarnation := m.holder.Incarnation()
	m.holder = budget.NewHolder(m.o.Fleet, m.o.Name, 0, m.o.Terms)
	for i, name := range m.o.Rates {
		m.rates[i] = m.holder.Rate(name)
	}
	m.mu.Unlock()
	if incarnation != 0 && ended { // else what it holds is free once its lease and linger are over
		if _, err := m.do(context.Background(), m.o.Terms.Lease/asks, ledger.Command{Fleet: m.o.Fleet, Leave: &ledger.Leave{Incarnation: incarnation}}); err != nil {
			m.o.Log.Info("left the fleet without a word", "err", err)
		}
	}
	return m.closeClients()
}

// connectionsEnded opens no more connections, and waits for a short while until all have ended.
func (m *Member) connectionsEnded() bool {
	if m.each == nil {
		return true
	}
	for end := time.Now().Add(m.o.Terms.Lease / asks); ; time.Sleep(m.o.Terms.Lease / asks / looks) {
		m.mu.Lock()
		m.each.Set(m.o.Clock(), budget.Grant{})
		most := m.each.Most()
		m.mu.Unlock()
		if most == 0 || time.Now().After(end) {
			return most == 0
		}
	}
}

func (m *Member) closeClients() error {
	var errs []error
	for _, c := range m.clients {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}
