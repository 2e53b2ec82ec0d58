package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"

	"tinroute.example/tinroute/balance"
)

var limits = Limits{MaxOffers: 4, MaxSends: 20, BaseBackoff: time.Second, MaxBackoff: 30 * time.Second, Expiry: time.Hour}

func TestBefore(t *testing.T) {
	sent := &Send{Zone: 1, Cell: 2, At: 100 * time.Second}
	keyed := Job{Effect: balance.Deduplicated, Group: balance.ScopeCell, DedupWindow: 10 * time.Second, FirstSend: sent}
	unclear := keyed
	unclear.HistoryUnknown = true
	unsafe := Job{Effect: balance.NonIdempotent, FirstSend: sent}
	safe := Job{Effect: balance.Idempotent, FirstSend: sent, HistoryUnknown: true}
	for name, c := range map[string]struct {
		at   time.Duration
		job  Job
		want Decision
	}{
		"safe at once":                 {500 * time.Second, safe, Decision{Action: ActionOffer}},
		"keyed, nothing sent":          {500 * time.Second, Job{Effect: balance.Deduplicated}, Decision{Action: ActionOffer}},
		"keyed within its span":        {104 * time.Second, keyed, Decision{Action: ActionOffer, Earlier: &balance.PriorAttempt{Zone: 1, Cell: 2, Age: 4 * time.Second}}},
		"keyed at the span's end":      {110*time.Second - margin, keyed, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"keyed, clock before its send": {99 * time.Second, keyed, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"keyed, unclear":               {101 * time.Second, unclear, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"unsafe, nothing sent":         {500 * time.Second, Job{Effect: balance.NonIdempotent}, Decision{Action: ActionOffer}},
		"unsafe that may have run":     {101 * time.Second, unsafe, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"expired":                      {2 * time.Hour, Job{}, Decision{Action: ActionDeadLetter, Reason: ReasonExpired}},
		"expired, may have run":        {2 * time.Hour, keyed, Decision{Action: ActionDeadLetter, Reason: ReasonUnknown}},
		"too many sends":               {time.Second, Job{Sends: 20}, Decision{Action: ActionDeadLetter, Reason: ReasonTooManySends}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, NewPlanner(limits, 1).BeforeOffer(c.at, &c.job)) })
	}
}

func TestAfter(t *testing.T) {
	p := NewPlanner(limits, 1)
	require.Equal(t, ActionDone, p.AfterOffer(0, &Job{}, OutcomeServed, 0).Action)
	require.Equal(t, Decision{Action: ActionDeadLetter, Reason: ReasonUnfit}, p.AfterOffer(0, &Job{Offers: 1}, OutcomeUnfit, 0))
	require.Equal(t, Decision{Action: ActionDeadLetter, Reason: ReasonRefused}, p.AfterOffer(0, &Job{Offers: 4}, OutcomeRefused, 0))
	require.Equal(t, Decision{Action: ActionDeadLetter, Reason: ReasonFailed}, p.AfterOffer(0, &Job{Offers: 4}, OutcomeFailed, 0))
	for range 100 { // a wait that outlasted the span would end the job unknown
		d := p.AfterOffer(9*time.Second, &Job{Effect: balance.Deduplicated, DedupWindow: 10 * time.Second, Offers: 3, FirstSend: &Send{}}, OutcomeRefused, 0)
		require.Equal(t, ActionWait, d.Action)
		require.Less(t, d.At, 10*time.Second-margin)
	}
	spread := map[time.Duration]bool{}
	for range 100 { // full jitter, and no more than the bound of its turn
		d := p.AfterOffer(0, &Job{Offers: 3}, OutcomeRefused, 0)
		require.LessOrEqual(t, d.At, 4*time.Second)
		spread[d.At/(time.Second/2)] = true
	}
	require.Greater(t, len(spread), 5)
	require.GreaterOrEqual(t, p.AfterOffer(0, &Job{Offers: 1}, OutcomeRefused, 20*time.Second).At, 20*time.Second)
}

// A world of regions that lose, run, fail and refuse, and of crashes that forget all but what
// was written down. Whatever happens: every job has one end, and its class's rule is kept.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := time.Duration(rapid.IntRange(1, 60).Draw(t, "span")) * time.Second
		j := &Job{Effect: rapid.SampledFrom([]balance.Idempotency{balance.Idempotent, balance.Deduplicated, balance.NonIdempotent}).Draw(t, "effect"),
			Group: rapid.SampledFrom([]balance.DedupScope{balance.ScopeFleet, balance.ScopeZone, balance.ScopeCell}).Draw(t, "group"), DedupWindow: span}
		p := NewPlanner(limits, rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		type run struct {
			at         time.Duration
			zone, cell int
		}
		var ran []run // sends that may have run
		ends := 0
		for steps := 0; ends == 0; steps++ {
			require.Less(t, steps, 200, "no end")
			d := p.BeforeOffer(now, j)
			if d.Action == ActionDeadLetter {
				ends++
				break
			}
			require.Equal(t, ActionOffer, d.Action)
			// The policy may send where the decision's binding allows, some time later.
			end := OutcomeFailed
			for range rapid.IntRange(0, 3).Draw(t, "sends") {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
				zone, cell := rapid.IntRange(0, 1).Draw(t, "zone"), rapid.IntRange(0, 3).Draw(t, "cell")
				if len(ran) > 0 && j.Effect != balance.Idempotent {
					if j.Effect == balance.NonIdempotent || now >= ran[0].at+span {
						break // the policy's own rule, tested with it
					}
					if d.Earlier != nil {
						require.Equal(t, balance.PriorAttempt{Zone: ran[0].zone, Cell: ran[0].cell, Age: d.Earlier.Age}, *d.Earlier)
					}
					switch j.Group {
					case balance.ScopeZone:
						zone = ran[0].zone
					case balance.ScopeCell:
						cell = ran[0].cell
					}
				}
				s := run{now, zone, cell}
				j.Sends++
				if j.FirstSend == nil {
					j.FirstSend = &Send{Zone: zone, Cell: cell, At: now}
				}
				if rapid.Bool().Draw(t, "never ran") {
					if j.FirstSend.At == now && (len(ran) == 0 || ran[0].at != now) {
						j.FirstSend = nil
					}
					end = OutcomeRefused
					continue
				}
				if len(ran) > 0 && j.Effect != balance.Idempotent {
					require.Equal(t, balance.Deduplicated, j.Effect, "an unsafe job ran twice")
					require.Less(t, now, ran[0].at+span, "a keyed job was sent after its span")
					if j.Group == balance.ScopeZone {
						require.Equal(t, ran[0].zone, zone)
					}
					if j.Group == balance.ScopeCell {
						require.Equal(t, ran[0].cell, cell)
					}
				}
				ran = append(ran, s)
				end = rapid.SampledFrom([]Outcome{OutcomeServed, OutcomeFailed}).Draw(t, "end")
				if end == OutcomeServed {
					break
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "crash") == 0 { // before the end is written
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "down")) * time.Second
				j.HistoryUnknown = j.HistoryUnknown || rapid.IntRange(0, 9).Draw(t, "clock set back") == 0
				continue
			}
			if end == OutcomeRefused && len(ran) > 0 && j.Effect != balance.Idempotent {
				end = OutcomeFailed // what may have run is not refused
			}
			j.Offers++
			switch d := p.AfterOffer(now, j, end, 0); d.Action {
			case ActionDone:
				require.Equal(t, OutcomeServed, end)
				ends++
			case ActionDeadLetter:
				if len(ran) > 0 && j.Effect != balance.Idempotent {
					require.Equal(t, ReasonUnknown, d.Reason)
				}
				ends++
			case ActionWait:
				require.GreaterOrEqual(t, d.At, now)
				require.LessOrEqual(t, d.At, now+limits.MaxBackoff)
				now = d.At
			default:
				require.Fail(t, "an offer without a wait")
			}
		}
		require.Equal(t, 1, ends)
	})
}

func TestPace(t *testing.T) {
	p := NewPacer(PacerLimits{MaxWindow: 8, MaxUnsent: 2, Rate: 100, MaxForegroundWait: 50 * time.Millisecond})
	now := time.Second
	may := func() bool { ok, _ := p.CanOffer(now); return ok }
	require.True(t, may())
	p.Offered(now)
	require.False(t, may(), "it begins with one")
	for range 20 { // doubles with each window of results, up to its bound
		for p.Outstanding() > 0 {
			p.Sent()
			p.Ended(now, true, OutcomeServed)
		}
		for now += 20 * time.Millisecond; may(); now += 20 * time.Millisecond {
			p.Offered(now)
			p.Sent()
		}
	}
	w, cuts := p.Window()
	require.Equal(t, 8, w)
	require.Zero(t, cuts)
	p.ForegroundWaited(now, 40*time.Millisecond)
	p.ForegroundWaited(now, 60*time.Millisecond)
	p.ForegroundWaited(now, 60*time.Millisecond) // of the same trouble
	w, cuts = p.Window()
	require.Equal(t, 4, w)
	require.Equal(t, 1, cuts)
	for p.Outstanding() > 0 {
		p.Ended(now, true, OutcomeRefused)
	}
	now += time.Second
	p.Ended(now, true, OutcomeRefused)
	w, _ = p.Window()
	require.Equal(t, 2, w)
	now += time.Second
	for may() {
		p.Offered(now)
	}
	require.Equal(t, 2, p.Outstanding(), "the window")
	p = NewPacer(PacerLimits{MaxWindow: 100, MaxUnsent: 2, Rate: 1e6})
	for range 50 {
		p.Offered(now)
		p.Sent()
		p.Ended(now, true, OutcomeServed)
	}
	now += time.Second
	for may() {
		p.Offered(now)
	}
	require.Equal(t, 2, p.Outstanding(), "no more wait unsent")
}

// However fast the results, no more is offered in a second than the rate and what was saved up.
func TestPaceRate(t *testing.T) {
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
