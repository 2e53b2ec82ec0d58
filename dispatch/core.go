package dispatch

import (
	"container/heap"
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/complain"
	"tinroute.example/tinroute/internal/hand"
)

const (
	doWithin = time.Second
	mailbox  = 256 // events on their way to the core; further senders wait
	// An answer is due before the client gives up. The balancer sees to that; should it
	// not, the core fails the transaction this long after, inside the rules' slack.
	overdue = 10 * time.Millisecond
	// A cancel that a region does not settle keeps its slot busy for this many connect
	// time-outs; then the balancer is told that the task is cancelled.
	cancelWaits = 2
	// elsewhere is when a client may come back whose job would outlast this process: another
	// dispatcher takes it at once.
	elsewhere = 50 * time.Millisecond
	// busyBack is when a client may come back that met too many open transactions.
	busyBack = time.Second
)

// Core is one dispatcher: a balancer and what it decides about.
type Core struct {
	settings balance.Settings
	log      *slog.Logger
	complain *complain.Book // what clients cause, which must not flood the log
	clock    Clock
	virtual  func() time.Duration // the handed-in clock of a core that is not Run, else nil
	turning  bool                 // inside a turn of such a core
	regions  Regions
	table    ServiceTable
	hook     Hook
	watching []Observer
	phases   []PhaseObserver // those of watching that are

	events chan func()
	closed chan struct{}
	open   atomic.Int64 // transactions without a final answer
	counts counts
	hand   *hand.Book      // workers out by hand; nil for none
	handed <-chan struct{} // a signal after each change of hand
	heard  atomic.Uint64   // the generation of hand that the balancer has been told

	// The rest is the goroutine's own.
	balancer Policy
	now      time.Duration
	jobs     map[balance.JobID]*Transaction
	ids      map[string]*Transaction // what regions and call-backs may still name
	nextJob  balance.JobID
	members  map[balance.WorkerID]Region
	deferred []func()
	timers   timers
	active   int
	ends     time.Duration                      // when the process will end, 0 while that is not known
	out      map[string]bool                    // names out by hand, as the balancer was told
	back     map[balance.WorkerID]time.Duration // taken back by hand then: cold from then on
}

// Options are the parts that a Core works with. All but Settings may be left out.
type Options struct {
	Settings  balance.Settings
	Log       *slog.Logger
	Hook      Hook
	Observers []Observer
	// Clock makes a core that is not Run: its methods do their work before they return, on the one
	// goroutine that calls them, and Advance does what is due. The clock must never go back.
	Clock func() time.Duration
	// Hand holds the workers out by hand, which may be shared by several cores. The core sends
	// nothing new to them from the turn after the change, and tells it by Heard.
	Hand *hand.Book
	// Shares are what a fleet's budgets leave to this dispatcher; nil for none. A Policy is not handed them.
	Shares balance.Shares
	// Policy makes what decides in place of balance, for experiments that set other policies
	// beside it; balance.New where nil. The fronts of the daemon leave it nil.
	Policy func(balance.Settings, balance.Host) (Policy, error)
}

// Policy decides for a core: balance.Balancer in service, a comparison policy in experiments. The
// core calls it on its own goroutine, and it acts through the Host alone.
type Policy interface {
	Members(now time.Duration, how balance.ListKind, list []balance.Member)
	Request(now time.Duration, j balance.Job)
	Timer(now time.Duration, token uint64)
	Gone(now time.Duration, id balance.JobID)
	Note(now time.Duration, id balance.JobID, attempt int, what balance.NoteKind, share float64)
	Outcome(now time.Duration, r balance.Result)
	Probed(now time.Duration, w balance.WorkerID, st balance.Status, took time.Duration, r balance.Report)
	View(now time.Duration) balance.View
}

// New returns a core that does nothing until Connect and Run.
func New(o Options) (*Core, error) {
	c := &Core{virtual: o.Clock, settings: o.Settings, log: o.Log, hook: o.Hook, watching: o.Observers, clock: NewClock(),
		events: make(chan func(), mailbox), closed: make(chan struct{}),
		jobs: map[balance.JobID]*Transaction{}, ids: map[string]*Transaction{}, members: map[balance.WorkerID]Region{},
		hand: o.Hand, out: map[string]bool{}, back: map[balance.WorkerID]time.Duration{}}
	c.counts.classes = make([]classCounts, len(o.Settings.Classes))
	if c.hand != nil {
		c.handed = c.hand.Subscribe()
	}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	c.complain = complain.New(c.log, nil)
	for _, o := range o.Observers {
		if p, ok := o.(PhaseObserver); ok {
			c.phases = append(c.phases, p)
		}
	}
	var err error
	if o.Policy != nil {
		c.balancer, err = o.Policy(o.Settings, host{c})
		return c, err
	}
	b, err := balance.New(o.Settings, host{c})
	if err == nil && o.Shares != nil {
		b.Budgets(o.Shares)
	}
	c.balancer = b
	return c, err
}

// Connect gives the core its drivers, which in turn know the core.
func (c *Core) Connect(r Regions, t ServiceTable) { c.regions, c.table = r, t }

// Settings are those that the core was made with.
func (c *Core) Settings() *balance.Settings { return &c.settings }

// Open is the number of transactions that are owed an answer.
func (c *Core) Open() int { return int(c.open.Load()) }

// Run owns the core until the context ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.closed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			c.turn(f)
		case <-timer.C:
			c.turn(func() {})
		case <-c.handed: // beside the mailbox: a full one must not hold a ban up
			c.turn(func() {})
		}
		if len(c.timers) > 0 {
			timer.Reset(max(0, c.timers[0].at-c.clock.Now()))
		}
	}
}

// Advance does what is due by the handed-in clock, for a core that is not Run, and tells when
// something is due next; ok is false where nothing is.
func (c *Core) Advance() (next time.Duration, ok bool) {
	c.turn(func() {})
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// turn handles one event, then whatever its actions left to do: outcomes of sends that
// never left, which must not reach the balancer from inside its own action.
func (c *Core) turn(f func()) {
	c.now = c.clock.Now()
	if c.virtual != nil {
		c.now, c.turning = c.virtual(), true
		defer func() { c.turning = false }()
	}
	if c.hand != nil && c.hand.Gen() != c.heard.Load() {
		c.rehand()
	}
	f()
	for {
		for len(c.deferred) > 0 {
			next := c.deferred[0]
			c.deferred = c.deferred[1:]
			next()
		}
		if len(c.timers) == 0 || c.timers[0].at > c.now {
			return
		}
		due := heap.Pop(&c.timers).(*timer)
		due.f()
	}
}

func (c *Core) post(f func()) {
	if c.virtual != nil {
		if c.turning { // from inside one of the core's own calls: after it
			c.deferred = append(c.deferred, f)
		} else {
			c.turn(f)
		}
		return
	}
	select {
	case c.events <- f:
	case <-c.closed:
	}
}

func (c *Core) after(d time.Duration, f func()) *timer {
	t := &timer{at: c.now + d, f: f}
	heap.Push(&c.timers, t)
	return t
}

// stop drops a timer, so that what is over is not held in memory until its time comes.
func (c *Core) stop(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&c.timers, t.index)
	}
}

// Submit hands over a transaction. From then on its Terminal is owed one answer, unless
// Leave comes first. What a hook refuses, and what comes while too many are open, is
// answered here and sent nowhere.
func (c *Core) Submit(tx *Transaction) {
	tx.Asked = time.Now()
	if len(c.phases) > 0 {
		tx.Wrote = &Delivery{}
	}
	if c.hook != nil {
		a := c.hook.Transaction(tx)
		tx.Hooked = time.Since(tx.Asked)
		if a != nil {
			c.tell(tx, *a)
			return
		}
	}
	if int(c.open.Add(1)) > c.settings.MaxOpen && c.settings.MaxOpen > 0 {
		c.open.Add(-1)
		c.complain.Complain("refused", nil, "too many open", "id", tx.ID, "open", c.settings.MaxOpen)
		c.tell(tx, Answer{Verdict: Refused, RetryAfter: min(busyBack, c.settings.MaxRetryAfter),
			Reason: "too many open requests"})
		return
	}
	c.post(func() { c.begin(tx) })
}

func (c *Core) begin(tx *Transaction) {
	if tx.over { // it was given up by another goroutine than the one that submits it
		c.open.Add(-1)
		return
	}
	// Regions and their call-backs know a request by its id alone: a second one of an id that
	// is open would take the first one's outcome, or have it cancelled.
	if c.ids[tx.ID] != nil {
		c.complain.Complain("id in use", nil, "id", "id", tx.ID)
		tx.over = true
		c.open.Add(-1)
		c.tell(tx, Answer{Verdict: Failed, Unfit: true, Reason: "a request of this id is open"})
		return
	}
	patience := tx.Patience
	if c.virtual == nil { // the client's patience runs from when it asked, also while the core was busy
		patience -= time.Since(tx.Asked)
	}
	limit := patience + overdue
	if c.ends > 0 {
		left := c.ends - c.now
		if left <= 0 {
			tx.over = true
			c.open.Add(-1)
			c.tell(tx, Answer{Verdict: Refused, RetryAfter: min(elsewhere, c.settings.MaxRetryAfter),
				Reason: "this dispatcher ends before the job could"})
			return
		}
		limit = min(limit, left)
	}
	c.ids[tx.ID] = tx
	c.nextJob++
	tx.job, tx.end = c.nextJob, c.now+patience
	c.jobs[tx.job] = tx
	c.observe(func(o Observer) { o.Began(tx) })
	tx.guard = c.after(limit, func() {
		if !tx.over {
			if c.now >= tx.end {
				c.log.Error("answer overdue", "id", tx.ID)
			}
			c.answer(tx, Answer{Verdict: Failed, Late: true, Reason: "deadline"})
			c.balancer.Gone(c.now, tx.job)
		}
	})
	c.balancer.Request(c.now, balance.Job{ID: tx.job, Class: tx.Class, Tenant: tx.Tenant, Key: tx.Key,
		Patience: patience, Hint: tx.Hint, Slots: tx.Slots, Memory: tx.Memory, Earlier: tx.Earlier})
}

// Drain tells that the process may be ended in so long. What comes once free has passed is
// answered before that, and refused unsent if it would take longer: what is taken and not
// answered is lost. What came before keeps its time, as far as the process is given it.
func (c *Core) Drain(free, within time.Duration) {
	c.post(func() {
		ends := c.now + within
		c.after(free, func() { c.ends = ends })
	})
}

// Leave takes word that the client is gone: no answer is owed any more.
func (c *Core) Leave(tx *Transaction) {
	c.post(func() {
		if tx.job == 0 {
			tx.over = true
		}
		if !tx.over {
			c.close(tx)
			c.observe(func(o Observer) { o.Left(tx) })
			c.balancer.Gone(c.now, tx.job)
			c.forget(tx)
		}
	})
}

// Written takes a front's word that an answer's last byte is written, or could not be. It is
// for observers alone.
func (c *Core) Written(tx *Transaction, whole bool) {
	if tx.Wrote != nil {
		tx.Wrote.Set(whole)
	}
}

// View is the policy's view of the regions, with the names of up to ViewNames of them.
type View struct {
	balance.View
	Names map[balance.WorkerID]string
}

// ViewNames bounds the names in a View: the core makes no long list for one who watches.
const ViewNames = 2000

// View asks for the policy's view. It returns false where the core has ended, or is busy for so
// long.
func (c *Core) View(within time.Duration) (View, bool) {
	var v View
	if !c.ask(within, func() {
		v = View{c.balancer.View(c.now), map[balance.WorkerID]string{}}
		for _, w := range v.Workers[:min(len(v.Workers), ViewNames)] {
			v.Names[w.ID] = c.members[w.ID].Name
		}
	}) {
		return View{}, false
	}
	return v, true
}

// Hosts asks how many regions the service table lists, and how many of them the core avoids now.
// It returns false where the core has ended, or is busy for so long.
func (c *Core) Hosts(within time.Duration) (Hosts, bool) {
	var h Hosts
	if !c.ask(within, func() {
		h.Listed = len(c.members)
		for _, w := range c.balancer.View(c.now).Workers {
			if _, listed := c.members[w.ID]; listed && (!w.Serving || w.Held > 0) {
				h.Down++
			}
		}
	}) {
		return Hosts{}, false
	}
	return h, true
}

// ask does f on the core's goroutine and waits for it, for so long at most. What f sets may be
// read only where ask returns true: after a time-out f may still run.
func (c *Core) ask(within time.Duration, f func()) bool {
	if c.virtual != nil {
		c.turn(f)
		return true
	}
	done := make(chan struct{})
	limit := time.NewTimer(within)
	defer limit.Stop()
	select {
	case c.events <- func() { f(); close(done) }:
	case <-c.closed:
		return false
	case <-limit.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.closed:
		return false
	case <-limit.C:
		return false
	}
}

// Do runs f on the core's goroutine, between two events, and waits for it; false where the core has
// ended or is busy for longer than doWithin. A Policy that is driven from outside acts in it.
func (c *Core) Do(f func()) bool { return c.ask(doWithin, f) }

// answer gives the final answer, once.
func (c *Core) answer(tx *Transaction, a Answer) {
	if tx.over {
		return
	}
	c.close(tx)
	c.observe(func(o Observer) { o.Answered(tx, a) })
	c.tell(tx, a)
	c.forget(tx)
}

// tell gives a final answer to the terminal and counts it: every final answer goes this way,
// also those that are given before the core has the transaction.
func (c *Core) tell(tx *Transaction, a Answer) {
	c.counts.answered(tx.Class, a.Verdict)
	tx.Terminal.Answer(a)
}

func (c *Core) close(tx *Transaction) {
	tx.over = true
	c.stop(tx.guard)
	c.open.Add(-1)
}

// forget drops a transaction that is over and has no routed task out. Its id stays taken
// while a region may still have a task of it, but not for longer than its client had patience:
// a region that is gone never settles a cancel.
func (c *Core) forget(tx *Transaction) {
	if !tx.over || tx.out > 0 {
		return
	}
	delete(c.jobs, tx.job)
	switch {
	case len(tx.unsettled) == 0:
		c.release(tx)
	case tx.guard.index < 0:
		tx.guard = c.after(max(0, tx.end-c.now), func() { c.release(tx) })
	}
}

func (c *Core) release(tx *Transaction) {
	if c.ids[tx.ID] == tx {
		delete(c.ids, tx.ID)
		c.stop(tx.guard)
	}
}

// Started takes a region's word that it has begun with a routed task.
func (c *Core) Started(t *Task) { c.note(t, balance.NoteStarted, 0) }

// Progress takes a region's word on how much of a routed task it has done.
func (c *Core) Progress(t *Task, share float64) { c.note(t, balance.NoteProgress, share) }

func (c *Core) note(t *Task, kind balance.NoteKind, share float64) {
	c.post(func() {
		if t.done {
			return
		}
		if f, ok := t.Transaction.Terminal.(Follower); ok && !t.Transaction.over {
			f.Progress(share)
		}
		if !t.started {
			t.started = true
			for _, p := range c.phases {
				p.Started(t)
			}
		}
		c.balancer.Note(c.now, t.Transaction.job, t.No, kind, share)
	})
}

// Ended takes the outcome of a routed task from its driver, which then holds nothing of
// it any more. Only the first outcome counts; a later one just settles a cancelled task.
func (c *Core) Ended(t *Task, s balance.Status, result []byte) {
	t.Mark(Reported)
	c.post(func() {
		if !t.settled {
			t.settled = true
			if t.withdrawn {
				if t.Transaction.unsettled[t.Region.ID]--; t.Transaction.unsettled[t.Region.ID] <= 0 {
					delete(t.Transaction.unsettled, t.Region.ID)
				}
				c.forget(t.Transaction)
			}
		}
		c.ended(t, s, result)
	})
}

func (c *Core) ended(t *Task, s balance.Status, result []byte) {
	if t.done { // late or repeated: exactly one outcome for each send
		return
	}
	t.done = true
	t.unreached = s == balance.StatusUnreachable
	c.stop(t.limit)
	tx := t.Transaction
	tx.out--
	c.active--
	if !t.unsent {
		c.observe(func(o Observer) { o.Ended(t, s, c.now-t.sent) })
	}
	switch s {
	case balance.StatusOK:
		c.answer(tx, Answer{Verdict: Served, Result: result})
	case balance.StatusUnfit:
		c.answer(tx, Answer{Verdict: Failed, Unfit: true, Reason: "a region turned the request itself away"})
	}
	c.balancer.Outcome(c.now, balance.Result{Job: tx.job, Attempt: t.No, Worker: t.Region.ID, Status: s,
		Elapsed: c.now - t.sent, Closed: tx.over, Report: balance.NoReport()})
	c.forget(tx)
}

// withdraw asks the driver to give a task up and keeps later tasks of the transaction from
// that region until it has.
func (c *Core) withdraw(t *Task) {
	if t.withdrawn || t.settled {
		return
	}
	t.withdrawn = true
	if t.Transaction.unsettled == nil {
		t.Transaction.unsettled = map[balance.WorkerID]int{}
	}
	t.Transaction.unsettled[t.Region.ID]++
	c.observe(func(o Observer) { o.Withdrawn(t) })
	c.regions.Cancel(t)
}

func (c *Core) observe(tell func(Observer)) {
	for _, o := range c.watching {
		tell(o)
	}
}

// Listed takes word of the service table.
func (c *Core) Listed(how balance.ListKind, list []Region) {
	c.post(func() {
		before := c.members
		if how != balance.ListChange {
			c.members = make(map[balance.WorkerID]Region, len(list))
		}
		members := make([]balance.Member, len(list))
		for i, r := range list {
			members[i] = c.handled(r)
			if was, ok := before[r.ID]; ok && was.Condition == balance.Serving && r.Condition != balance.Serving {
				for _, p := range c.phases {
					p.Drained(r)
				}
			}
			if r.Condition == balance.Gone {
				delete(c.members, r.ID)
			} else {
				c.members[r.ID] = r
			}
		}
		all := make([]Region, 0, len(c.members))
		names := make([]string, 0, len(c.members))
		for _, r := range c.members {
			all = append(all, r)
			names = append(names, r.Name)
		}
		if c.hand != nil {
			c.hand.Listed(time.Now(), names...)
		}
		c.regions.Listed(all)
		c.balancer.Members(c.now, how, members)
	})
}

// handled is what the balancer is told of a region: one out by hand is draining, whatever the
// table says, and one taken back is as cold as a new start, since it was restarted meanwhile.
func (c *Core) handled(r Region) balance.Member {
	m := r.Member
	if c.out[r.Name] && m.Condition == balance.Serving {
		m.Condition = balance.Draining
	}
	if at, ok := c.back[r.ID]; ok {
		if m.Started >= at { // a start after the call back is the table's own word
			delete(c.back, r.ID)
		} else {
			m.Started = at
		}
	}
	return m
}

// rehand tells the balancer of changes of the workers out by hand. It comes first in a turn,
// before the turn's event: what is decided in it obeys the ban.
func (c *Core) rehand() {
	state := c.hand.State()
	out := make(map[string]bool, len(state.Out))
	for _, name := range state.Out {
		out[name] = true
	}
	var changed []balance.Member
	for id, r := range c.members {
		if out[r.Name] == c.out[r.Name] {
			continue
		}
		if !out[r.Name] {
			c.back[id] = max(c.now, time.Nanosecond) // 0 would mean long ago
		}
		c.out[r.Name] = out[r.Name]
		changed = append(changed, c.handled(r))
	}
	c.out = out // also the names that the table does not list now: the ban holds when they return
	c.heard.Store(state.Gen)
	if len(changed) > 0 {
		c.balancer.Members(c.now, balance.ListChange, changed)
	}
}

// Heard is the generation of the workers out by hand that the core obeys.
func (c *Core) Heard() uint64 { return c.heard.Load() }

// ListFailed takes word that an inquiry of the service table failed, or that the
// subscription broke.
func (c *Core) ListFailed() {
	c.post(func() { c.balancer.Members(c.now, balance.ListFailed, nil) })
}

// host carries out what the balancer decides. It is apart from Core so that a Core's users
// do not see these methods.
type host struct{ *Core }

func (h host) Send(job balance.JobID, to balance.WorkerID, timeout time.Duration) {
	tx := h.jobs[job]
	if tx == nil {
		return
	}
	t := &Task{Transaction: tx, No: len(tx.tasks), sent: h.now, Wait: tx.end - h.now, sentAt: time.Now(), counted: h.counts.of(tx.Class)}
	if timeout > 0 {
		t.Wait = min(t.Wait, timeout)
	}
	t.Again = slices.ContainsFunc(tx.tasks, func(o *Task) bool { return o.Region.ID == to && !o.unsent })
	tx.tasks = append(tx.tasks, t)
	tx.out++
	h.active++
	region, known := h.members[to]
	t.Region = region
	t.Region.ID = to
	// A region receives one attempt of a request at a time: while an earlier one there
	// is not settled, none is sent.
	// One out by hand gets nothing new, whatever the balancer was told: this guards the ban.
	if !known || tx.over || t.Wait <= 0 || tx.spent(h.settings.MaxAttempts) || tx.unsettled[to] > 0 ||
		h.out[region.Name] {
		t.settled, t.unsent = true, true
		h.deferred = append(h.deferred, func() { h.ended(t, balance.StatusMoot, nil) })
		return
	}
	t.limit = h.after(t.Wait, func() {
		if !t.done {
			h.withdraw(t)
			h.ended(t, balance.StatusTimeout, nil)
		}
	})
	h.observe(func(o Observer) { o.Sent(t) })
	h.regions.Start(t)
}

func (h host) Cancel(job balance.JobID, attempt int) {
	tx := h.jobs[job]
	if tx == nil || attempt < 0 || attempt >= len(tx.tasks) || tx.tasks[attempt].done {
		return
	}
	t := tx.tasks[attempt]
	h.withdraw(t)
	h.stop(t.limit)
	t.limit = h.after(cancelWaits*h.settings.ConnectTimeout, func() { h.ended(t, balance.StatusCancelled, nil) })
}

func (h host) Refuse(job balance.JobID, backoff time.Duration) {
	if tx := h.jobs[job]; tx != nil {
		h.answer(tx, Answer{Verdict: Refused, RetryAfter: backoff, Reason: "no region can serve it in time"})
	}
}

func (h host) Fail(job balance.JobID) {
	if tx := h.jobs[job]; tx != nil {
		h.answer(tx, Answer{Verdict: Failed, Late: h.now >= tx.end-overdue, Reason: "not served, and it may have run"})
	}
}

func (h host) Wake(after time.Duration, token uint64) {
	h.after(after, func() { h.balancer.Timer(h.now, token) })
}

func (h host) Watch() { h.table.Watch() }
func (h host) Fetch() { h.table.Fetch() }

// Tell and Probe are for sites that allow messages between dispatchers or probes; the
// fronts have neither, and the configuration turns both off.
func (h host) Tell(to int, data []byte) { h.log.Debug("no way to tell", "to", to, "bytes", len(data)) }

func (h host) Probe(w balance.WorkerID) {
	h.deferred = append(h.deferred, func() {
		h.balancer.Probed(h.now, w, balance.StatusMoot, 0, balance.NoReport())
	})
}

func (h host) Log(text string) { h.log.Info("policy", "says", text) }

// timer is something to do at an instant.
type timer struct {
	at    time.Duration
	f     func()
	index int // in the heap, -1 once out of it
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	last.index = -1
	return last
}
