// Package member is a dispatcher's client of its fleet's ledger. It periodically renews its lease and shares
// with the voters and admits what its shares allow, without a remote call per job. The protocol state is
// budget.Holder, which does no I/O; this package adds the clock, the calls and the locking.
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

// renewalsPerLease is how many times per lease a member renews. A share survives an outage of the ledger that
// is shorter than the lease minus one renewal period.
const renewalsPerLease = 4

// checksPerLease is how many times per lease a member checks whether to renew early.
const checksPerLease = 20

// Options configure a member.
type Options struct {
	Name             string
	Fleet            string
	Timing           ledger.Timing
	Voters           map[string]string    // addresses of the ledger service by voter name, as reached from here
	RateBudgets      []string             // names of the rate budgets that are used here
	ConnectionBudget string               // name of the budget of connections per worker, empty for none
	Clock            func() time.Duration // must not step, and must count while the machine is suspended
	Log              *slog.Logger
}

// Member is a dispatcher's membership in its fleet.
type Member struct {
	opts       Options
	voterNames []string               // sorted
	clients    map[string]*rpc.Client // by voter name
	nextVoter  int                    // index in voterNames of the voter that is called next
	stop       context.CancelFunc
	wg         sync.WaitGroup

	mu          sync.Mutex // guards the holder and its limiters
	holder      *budget.Holder
	rates       []*budget.RateLimiter  // in the order of Options.RateBudgets
	connections *budget.KeyedSemaphore // nil without Options.ConnectionBudget
}

// Start joins the fleet in the background. Nothing is admitted until the first grant.
func Start(opts Options) (*Member, error) {
	m := &Member{opts: opts, voterNames: slices.Sorted(maps.Keys(opts.Voters)), clients: map[string]*rpc.Client{},
		holder: budget.NewHolder(opts.Fleet, opts.Name, rand.Uint64(), opts.Timing)} // #nosec: distinguishes processes, not a secret
	for name, addr := range opts.Voters {
		c, err := rpc.Dial(addr, opts.Timing.Lease/renewalsPerLease)
		if err != nil {
			_ = m.closeClients()
			return nil, err
		}
		m.clients[name] = c
	}
	for _, name := range opts.RateBudgets {
		m.rates = append(m.rates, m.holder.RateLimiter(name))
	}
	if opts.ConnectionBudget != "" {
		m.connections = m.holder.KeyedSemaphore(opts.ConnectionBudget)
	}
	m.nextVoter = rand.IntN(len(m.voterNames)) // #nosec: members must not all call the same voter first
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.wg.Go(func() { m.renewLoop(ctx) })
	return m, nil
}

// Take takes amount thousandths from the budget Options.RateBudgets[index]. If they are not
// available, it returns how long until they would be under the current grant; unavailable is true if the
// current grant can never admit them.
func (m *Member) Take(index int, amount int64) (ok bool, wait time.Duration, unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rates[index].Take(m.opts.Clock(), amount)
}

// Acquire reports whether one more connection to a worker may be opened, and counts it. With Release and
// Excess it implements link.ConnLimit.
func (m *Member) Acquire(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connections.TryAcquire(m.opts.Clock(), addr)
}

// Release counts a connection to a worker as closed.
func (m *Member) Release(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections.Release(addr)
}

// Excess returns how many connections to a worker should be closed.
func (m *Member) Excess(addr string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int((m.connections.Excess(m.opts.Clock(), addr) + budget.Unit - 1) / budget.Unit)
}

// RateUsage is the state of one of Options.RateBudgets, in thousandths: the share per second, and the amounts
// admitted and denied since the start.
type RateUsage struct {
	Budget              string
	Share, Used, Denied int64
}

// RateUsages returns the state of every rate budget.
func (m *Member) RateUsages() (all []RateUsage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock()
	for i, r := range m.rates {
		used, denied := r.Counts()
		all = append(all, RateUsage{m.opts.RateBudgets[i], r.MaxUse(now), used, denied})
	}
	return all
}

// LeaseStatus reports whether the lease is valid, and the version of the budgets in the last answer.
func (m *Member) LeaseStatus() (leased bool, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.opts.Clock() < m.holder.LeaseEnd(), m.holder.BudgetVersion()
}

// renewLoop joins the fleet and renews the lease until the context ends.
func (m *Member) renewLoop(ctx context.Context) {
	period := m.opts.Timing.Lease / renewalsPerLease
	var last struct {
		leased  bool
		version uint64
	}
	startedAt := time.Now() // a missing first lease is logged only after one lease duration
	for ctx.Err() == nil {
		sentAt := time.Now()
		m.mu.Lock()
		joining := m.holder.Incarnation() == 0
		cmd := m.holder.NextCommand(m.opts.Clock())
		m.mu.Unlock()
		answer, err := m.send(ctx, period, cmd)
		if ctx.Err() != nil {
			return
		}
		m.mu.Lock()
		m.holder.HandleAnswer(m.opts.Clock(), answer, err)
		incarnation := m.holder.Incarnation()
		m.mu.Unlock()
		if joining && incarnation != 0 {
			m.opts.Log.Info("joined the fleet", "fleet", m.opts.Fleet, "incarnation", incarnation)
			continue // send the first renewal immediately
		}
		if leased, version := m.LeaseStatus(); leased && (!last.leased || version != last.version) {
			m.opts.Log.Info("lease on the fleet's budgets granted", "version", version)
			last.leased, last.version, startedAt = true, version, time.Time{}
		} else if !leased && (last.leased || !startedAt.IsZero() && time.Since(startedAt) > m.opts.Timing.Lease) {
			m.opts.Log.Warn("no lease on the fleet's budgets; admitting at most the floors until a renewal succeeds", "err", err)
			last.leased, startedAt = false, time.Time{}
		}
		// Jitter keeps members that started together from renewing together.
		wait := time.Duration(float64(period) * (0.9 + 0.2*rand.Float64())) // #nosec
		if err != nil {
			wait /= renewalsPerLease
		}
		m.waitForRenewal(ctx, sentAt.Add(wait), err == nil)
	}
}

// waitForRenewal waits until the next renewal is due. If allowEarly is set, it returns as soon as the holder
// wants to renew early.
func (m *Member) waitForRenewal(ctx context.Context, until time.Time, allowEarly bool) {
	ticker := time.NewTicker(m.opts.Timing.Lease / checksPerLease)
	defer ticker.Stop()
	for ctx.Err() == nil && time.Now().Before(until) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			m.mu.Lock()
			renewNow := allowEarly && m.holder.RenewEarly(m.opts.Clock())
			m.mu.Unlock()
			if renewNow {
				return
			}
		}
	}
}

// send sends a command to the voters until one gives a final reply. It starts with the voter that answered
// last, continues with the leader that a voter names, and otherwise with the next voter in order.
func (m *Member) send(ctx context.Context, timeout time.Duration, cmd ledger.Command) (answer ledger.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	perVoter := timeout / time.Duration(min(2, len(m.voterNames))) // leaves time for a second voter if one does not answer
	for range len(m.voterNames) + 1 {
		callCtx, cancelCall := context.WithTimeout(ctx, perVoter)
		reply, err := m.clients[m.voterNames[m.nextVoter]].Do(callCtx, cmd)
		cancelCall()
		if reply.Final {
			return reply.Answer, err
		}
		if leader := slices.Index(m.voterNames, reply.Leader); leader >= 0 && leader != m.nextVoter {
			m.nextVoter = leader
		} else {
			m.nextVoter = (m.nextVoter + 1) % len(m.voterNames)
		}
		if ctx.Err() != nil {
			return answer, err
		}
	}
	return answer, errNoLeader
}

// errNoLeader is returned if no voter is the leader or none could be reached.
var errNoLeader = errors.New("member: no voter accepted the command")

// Close leaves the fleet, which frees its shares for others immediately. Nothing is admitted after Close.
func (m *Member) Close() error {
	m.stop()
	m.wg.Wait()
	drained := m.drainConnections()
	m.mu.Lock()
	incarnation := m.holder.Incarnation()
	m.holder = budget.NewHolder(m.opts.Fleet, m.opts.Name, 0, m.opts.Timing)
	for i, name := range m.opts.RateBudgets {
		m.rates[i] = m.holder.RateLimiter(name)
	}
	m.mu.Unlock()
	if incarnation != 0 && drained { // otherwise its shares are freed after the lease and the grace period
		if _, err := m.send(context.Background(), m.opts.Timing.Lease/renewalsPerLease, ledger.Command{Fleet: m.opts.Fleet, Leave: &ledger.Leave{Incarnation: incarnation}}); err != nil {
			m.opts.Log.Info("could not notify the fleet of leaving; shares are freed after the lease and grace period", "err", err)
		}
	}
	return m.closeClients()
}

// drainConnections stops new connections and waits until all are closed, for at most one renewal period. It
// reports whether all are closed.
func (m *Member) drainConnections() bool {
	if m.connections == nil {
		return true
	}
	for deadline := time.Now().Add(m.opts.Timing.Lease / renewalsPerLease); ; time.Sleep(m.opts.Timing.Lease / renewalsPerLease / checksPerLease) {
		m.mu.Lock()
		m.connections.SetGrant(m.opts.Clock(), budget.Grant{})
		inUse := m.connections.MaxInUse()
		m.mu.Unlock()
		if inUse == 0 || time.Now().After(deadline) {
			return inUse == 0
		}
	}
}

// closeClients closes the connections to the voters.
func (m *Member) closeClients() error {
	var errs []error
	for _, c := range m.clients {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}
