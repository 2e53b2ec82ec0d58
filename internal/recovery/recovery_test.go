package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"

	"tinroute.example/tinroute/balance"
)

var testLimits = Limits{MaxOffers: 4, MaxSends: 20, BaseBackoff: time.Second, MaxBackoff: 30 * time.Second, Expiry: time.Hour}

func TestBeforeOffer(t *testing.T) {
	sent := &Send{Zone: 1, Cell: 2, At: 100 * time.Second}
	deduplicated := Job{Idempotency: balance.Deduplicated, DedupScope: balance.ScopeCell, DedupWindow: 10 * time.Second, FirstSend: sent}
	historyUnknown := deduplicated
	historyUnknown.HistoryUnknown = true
	nonIdempotent := Job{Idempotency: balance.NonIdempotent, FirstSend: sent}
	idempotent := Job{Idempotency: balance.Idempotent, FirstSend: sent, HistoryUnknown: true}
	for name, c := range map[string]struct {
		at   time.Duration
		job  Job
		want Decision
	}{
		"idempotent, at once":                 {500 * time.Second, idempotent, Decision{Action: ActionOffer}},
		"deduplicated, nothing sent":          {500 * time.Second, Job{Idempotency: balance.Deduplicated}, Decision{Action: ActionOffer}},
		"deduplicated within its window":      {104 * time.Second, deduplicated, Decision{Action: ActionOffer, PriorAttempt: &balance.PriorAttempt{Zone: 1, Cell: 2, Age: 4 * time.Second}}},
		"deduplicated at the window's end":    {110*time.Second - windowMargin, deduplicated, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"deduplicated, clock before its send": {99 * time.Second, deduplicated, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"deduplicated, history unknown":       {101 * time.Second, historyUnknown, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"not idempotent, nothing sent":        {500 * time.Second, Job{Idempotency: balance.NonIdempotent}, Decision{Action: ActionOffer}},
		"not idempotent, may have run":        {101 * time.Second, nonIdempotent, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"expired":                             {2 * time.Hour, Job{}, Decision{Action: ActionDeadLetter, Reason: ReasonExpired}},
		"expired, may have run":               {2 * time.Hour, deduplicated, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"too many sends":                      {time.Second, Job{Sends: 20}, Decision{Action: ActionDeadLetter, Reason: ReasonTooManySends}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, NewPlanner(testLimits, 1).BeforeOffer(c.at, &c.job)) })
	}
}

func TestAfterOffer(t *testing.T) {
	p := NewPlanner(testLimits, 1)
	require.Equal(t, ActionDone, p.AfterOffer(0, &Job{}, OutcomeServed, 0).Action)
	require.Equal(t, Decision{Action: ActionDeadLetter, Reason: ReasonInvalid}, p.AfterOffer(0, &Job{Offers: 1}, OutcomeInvalid, 0))
	require.Equal(t, Decision{Action: ActionDeadLetter, Reason: ReasonRefused}, p.AfterOffer(0, &Job{Offers: 4}, OutcomeRefused, 0))
	require.Equal(t, Decision{Action: ActionDeadLetter, Reason: ReasonFailed}, p.AfterOffer(0, &Job{Offers: 4}, OutcomeFailed, 0))
	for range 100 { // a wait past the deduplication window would make the job a dead letter
		d := p.AfterOffer(9*time.Second, &Job{Idempotency: balance.Deduplicated, DedupWindow: 10 * time.Second, Offers: 3, FirstSend: &Send{}}, OutcomeRefused, 0)
		require.Equal(t, ActionWait, d.Action)
		require.Less(t, d.At, 10*time.Second-windowMargin)
	}
	spread := map[time.Duration]bool{}
	for range 100 { // full jitter up to the bound of the third backoff
		d := p.AfterOffer(0, &Job{Offers: 3}, OutcomeRefused, 0)
		require.LessOrEqual(t, d.At, 4*time.Second)
		spread[d.At/(time.Second/2)] = true
	}
	require.Greater(t, len(spread), 5)
	require.GreaterOrEqual(t, p.AfterOffer(0, &Job{Offers: 1}, OutcomeRefused, 20*time.Second).At, 20*time.Second)
}

// Simulates workers that lose, run, fail and refuse attempts, and crashes after which only the
// recorded state is left. Every job must end exactly once, and no attempt may break the rule of its
// class for repeats.
func TestJobEndsOnceWithinClassRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(1, 60).Draw(t, "span")) * time.Second
		j := &Job{Idempotency: rapid.SampledFrom([]balance.Idempotency{balance.Idempotent, balance.Deduplicated, balance.NonIdempotent}).Draw(t, "idempotency"),
			DedupScope: rapid.SampledFrom([]balance.DedupScope{balance.ScopeFleet, balance.ScopeZone, balance.ScopeCell}).Draw(t, "scope"), DedupWindow: window}
		p := NewPlanner(testLimits, rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		type run struct {
			at         time.Duration
			zone, cell int
		}
		var mayHaveRun []run // sends that may have run
		ends := 0
		for steps := 0; ends == 0; steps++ {
			require.Less(t, steps, 200, "the job does not end")
			d := p.BeforeOffer(now, j)
			if d.Action == ActionDeadLetter {
				ends++
				break
			}
			require.Equal(t, ActionOffer, d.Action)
			// The policy sends some time later, to a worker that the decision allows.
			outcome := OutcomeFailed
			for range rapid.IntRange(0, 3).Draw(t, "sends") {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
				zone, cell := rapid.IntRange(0, 1).Draw(t, "zone"), rapid.IntRange(0, 3).Draw(t, "cell")
				if len(mayHaveRun) > 0 && j.Idempotency != balance.Idempotent {
					if j.Idempotency == balance.NonIdempotent || now >= mayHaveRun[0].at+window {
						break // the policy itself would not send: see its own tests
					}
					if d.PriorAttempt != nil {
						require.Equal(t, balance.PriorAttempt{Zone: mayHaveRun[0].zone, Cell: mayHaveRun[0].cell, Age: d.PriorAttempt.Age}, *d.PriorAttempt)
					}
					switch j.DedupScope {
					case balance.ScopeZone:
						zone = mayHaveRun[0].zone
					case balance.ScopeCell:
						cell = mayHaveRun[0].cell
					}
				}
				s := run{now, zone, cell}
				j.Sends++
				if j.FirstSend == nil {
					j.FirstSend = &Send{Zone: zone, Cell: cell, At: now}
				}
				if rapid.Bool().Draw(t, "never ran") {
					if j.FirstSend.At == now && (len(mayHaveRun) == 0 || mayHaveRun[0].at != now) {
						j.FirstSend = nil
					}
					outcome = OutcomeRefused
					continue
				}
				if len(mayHaveRun) > 0 && j.Idempotency != balance.Idempotent {
					require.Equal(t, balance.Deduplicated, j.Idempotency, "a job that is not idempotent ran twice")
					require.Less(t, now, mayHaveRun[0].at+window, "a deduplicated job was sent after its window")
					if j.DedupScope == balance.ScopeZone {
						require.Equal(t, mayHaveRun[0].zone, zone)
					}
					if j.DedupScope == balance.ScopeCell {
						require.Equal(t, mayHaveRun[0].cell, cell)
					}
				}
				mayHaveRun = append(mayHaveRun, s)
				outcome = rapid.SampledFrom([]Outcome{OutcomeServed, OutcomeFailed}).Draw(t, "end")
				if outcome == OutcomeServed {
					break
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "crash") == 0 { // before the outcome is recorded
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "down")) * time.Second
				j.HistoryUnknown = j.HistoryUnknown || rapid.IntRange(0, 9).Draw(t, "clock set back") == 0
				continue
			}
			if outcome == OutcomeRefused && len(mayHaveRun) > 0 && j.Idempotency != balance.Idempotent {
				outcome = OutcomeFailed // the policy does not refuse what may have run
			}
			j.Offers++
			switch d := p.AfterOffer(now, j, outcome, 0); d.Action {
			case ActionDone:
				require.Equal(t, OutcomeServed, outcome)
				ends++
			case ActionDeadLetter:
				if len(mayHaveRun) > 0 && j.Idempotency != balance.Idempotent {
					require.Equal(t, ReasonUnknown, d.Reason)
				}
				ends++
			case ActionWait:
				require.GreaterOrEqual(t, d.At, now)
				require.LessOrEqual(t, d.At, now+testLimits.MaxBackoff)
				now = d.At
			default:
				require.Fail(t, "unexpected action after an offer")
			}
		}
		require.Equal(t, 1, ends)
	})
}

func TestPacerWindow(t *testing.T) {
	p := NewPacer(PacerLimits{MaxWindow: 8, MaxUnsent: 2, Rate: 100, MaxForegroundWait: 50 * time.Millisecond})
	now := time.Second
	canOffer := func() bool { ok, _ := p.CanOffer(now); return ok }
	require.True(t, canOffer())
	p.Offered(now)
	require.False(t, canOffer(), "the initial window is 1")
	for range 20 { // slow start doubles the window with each window of results, up to its limit
		for p.Outstanding() > 0 {
			p.Sent()
			p.Ended(now, true, OutcomeServed)
		}
		for now += 20 * time.Millisecond; canOffer(); now += 20 * time.Millisecond {
			p.Offered(now)
			p.Sent()
		}
	}
	window, cuts := p.Window()
	require.Equal(t, 8, window)
	require.Zero(t, cuts)
	p.ForegroundWaited(now, 40*time.Millisecond)
	p.ForegroundWaited(now, 60*time.Millisecond)
	p.ForegroundWaited(now, 60*time.Millisecond) // within the minimum interval between cuts
	window, cuts = p.Window()
	require.Equal(t, 4, window)
	require.Equal(t, 1, cuts)
	for p.Outstanding() > 0 {
		p.Ended(now, true, OutcomeRefused)
	}
	now += time.Second
	p.Ended(now, true, OutcomeRefused)
	window, _ = p.Window()
	require.Equal(t, 2, window)
	now += time.Second
	for canOffer() {
		p.Offered(now)
	}
	require.Equal(t, 2, p.Outstanding(), "limited by the window")
	p = NewPacer(PacerLimits{MaxWindow: 100, MaxUnsent: 2, Rate: 1e6})
	for range 50 {
		p.Offered(now)
		p.Sent()
		p.Ended(now, true, OutcomeServed)
	}
	now += time.Second
	for canOffer() {
		p.Offered(now)
	}
	require.Equal(t, 2, p.Outstanding(), "limited by the unsent offers")
}

// Offers never exceed the rate plus one burst, however fast the results come.
func TestPacerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 1000).Draw(t, "rate")
		p := NewPacer(PacerLimits{MaxWindow: 1000, MaxUnsent: 1000, Rate: float64(rate)})
		now, offered := time.Hour, 0
		p.CanOffer(now)
		for end := now + 3*time.Second; now < end; {
			if ok, wait := p.CanOffer(now); ok {
				p.Offered(now)
				offered++
				p.Ended(now, true, OutcomeServed)
			} else {
				now += max(wait, time.Microsecond)
			}
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "step")) * time.Microsecond
		}
		require.LessOrEqual(t, offered, 3*rate+rate/10+2)
	})
}
