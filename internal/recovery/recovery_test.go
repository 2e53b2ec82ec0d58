package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"

	"tinroute.example/tinroute/balance"
)

var limits = Limits{Offers: 4, Sends: 20, Base: time.Second, Most: 30 * time.Second, Expiry: time.Hour}

func TestBefore(t *testing.T) {
	sent := &Send{Zone: 1, Cell: 2, At: 100 * time.Second}
	keyed := Job{Effect: balance.Deduplicated, Group: balance.ScopeCell, Span: 10 * time.Second, First: sent}
	unclear := keyed
	unclear.Unclear = true
	unsafe := Job{Effect: balance.NonIdempotent, First: sent}
	safe := Job{Effect: balance.Idempotent, First: sent, Unclear: true}
	for name, c := range map[string]struct {
		at   time.Duration
		job  Job
		want Decision
	}{
		"safe at once":                 {500 * time.Second, safe, Decision{Do: Offer}},
		"keyed, nothing sent":          {500 * time.Second, Job{Effect: balance.Deduplicated}, Decision{Do: Offer}},
		"keyed within its span":        {104 * time.Second, keyed, Decision{Do: Offer, Earlier: &balance.PriorAttempt{Zone: 1, Cell: 2, Age: 4 * time.Second}}},
		"keyed at the span's end":      {110*time.Second - margin, keyed, Decision{Do: Bury, Reason: Unknown}},
		"keyed, clock before its send": {99 * time.Second, keyed, Decision{Do: Bury, Reason: Unknown}},
		"keyed, unclear":               {101 * time.Second, unclear, Decision{Do: Bury, Reason: Unknown}},
		"unsafe, nothing sent":         {500 * time.Second, Job{Effect: balance.NonIdempotent}, Decision{Do: Offer}},
		"unsafe that may have run":     {101 * time.Second, unsafe, Decision{Do: Bury, Reason: Unknown}},
		"expired":                      {2 * time.Hour, Job{}, Decision{Do: Bury, Reason: Expired}},
		"expired, may have run":        {2 * time.Hour, keyed, Decision{Do: Bury, Reason: Unknown}},
		"too many sends":               {time.Second, Job{Sends: 20}, Decision{Do: Bury, Reason: Sends}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, New(limits, 1).Before(c.at, &c.job)) })
	}
}

func TestAfter(t *testing.T) {
	p := New(limits, 1)
	require.Equal(t, Done, p.After(0, &Job{}, Served, 0).Do)
	require.Equal(t, Decision{Do: Bury, Reason: Unfit}, p.After(0, &Job{Offers: 1}, WasUnfit, 0))
	require.Equal(t, Decision{Do: Bury, Reason: Refused}, p.After(0, &Job{Offers: 4}, WasRefused, 0))
	require.Equal(t, Decision{Do: Bury, Reason: Failed}, p.After(0, &Job{Offers: 4}, HasFailed, 0))
	for range 100 { // a wait that outlasted the span would end the job unknown
		d := p.After(9*time.Second, &Job{Effect: balance.Deduplicated, Span: 10 * time.Second, Offers: 3, First: &Send{}}, WasRefused, 0)
		require.Equal(t, Wait, d.Do)
		require.Less(t, d.At, 10*time.Second-margin)
	}
	spread := map[time.Duration]bool{}
	for range 100 { // full jitter, and no more than the bound of its turn
		d := p.After(0, &Job{Offers: 3}, WasRefused, 0)
		require.LessOrEqual(t, d.At, 4*time.Second)
		spread[d.At/(time.Second/2)] = true
	}
	require.Greater(t, len(spread), 5)
	require.GreaterOrEqual(t, p.After(0, &Job{Offers: 1}, WasRefused, 20*time.Second).At, 20*time.Second)
}

// A world of regions that lose, run, fail and refuse, and of crashes that forget all but what
// was written down. Whatever happens: every job has one end, and its class's rule is kept.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := time.Duration(rapid.IntRange(1, 60).Draw(t, "span")) * time.Second
		j := &Job{Effect: rapid.SampledFrom([]balance.Idempotency{balance.Idempotent, balance.Deduplicated, balance.NonIdempotent}).Draw(t, "effect"),
			Group: rapid.SampledFrom([]balance.DedupScope{balance.ScopeFleet, balance.ScopeZone, balance.ScopeCell}).Draw(t, "group"), Span: span}
		p := New(limits, rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		type run struct {
			at         time.Duration
			zone, cell int
		}
		var ran []run // sends that may have run
		ends := 0
		for steps := 0; ends == 0; steps++ {
			require.Less(t, steps, 200, "no end")
			d := p.Before(now, j)
			if d.Do == Bury {
				ends++
				break
			}
			require.Equal(t, Offer, d.Do)
			// The policy may send where the decision's binding allows, some time later.
			end := HasFailed
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
				if j.First == nil {
					j.First = &Send{Zone: zone, Cell: cell, At: now}
				}
				if rapid.Bool().Draw(t, "never ran") {
					if j.First.At == now && (len(ran) == 0 || ran[0].at != now) {
						j.First = nil
					}
					end = WasRefused
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
				end = rapid.SampledFrom([]End{Served, HasFailed}).Draw(t, "end")
				if end == Served {
					break
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "crash") == 0 { // before the end is written
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "down")) * time.Second
				j.Unclear = j.Unclear || rapid.IntRange(0, 9).Draw(t, "clock set back") == 0
				continue
			}
			if end == WasRefused && len(ran) > 0 && j.Effect != balance.Idempotent {
				end = HasFailed // what may have run is not refused
			}
			j.Offers++
			switch d := p.After(now, j, end, 0); d.Do {
			case Done:
				require.Equal(t, Served, end)
				ends++
			case Bury:
				if len(ran) > 0 && j.Effect != balance.Idempotent {
					require.Equal(t, Unknown, d.Reason)
				}
				ends++
			case Wait:
				require.GreaterOrEqual(t, d.At, now)
				require.LessOrEqual(t, d.At, now+limits.Most)
				now = d.At
			default:
				require.Fail(t, "an offer without a wait")
			}
		}
		require.Equal(t, 1, ends)
	})
}

func TestPace(t *testing.T) {
	p := NewPace(PaceLimits{Window: 8, Waiting: 2, Rate: 100, Wait: 50 * time.Millisecond})
	now := time.Second
	may := func() bool { ok, _ := p.May(now); return ok }
	require.True(t, may())
	p.Offered(now)
	require.False(t, may(), "it begins with one")
	for range 20 { // doubles with each window of results, up to its bound
		for p.Out() > 0 {
			p.Sent()
			p.Ended(now, true, Served)
		}
		for now += 20 * time.Millisecond; may(); now += 20 * time.Millisecond {
			p.Offered(now)
			p.Sent()
		}
	}
	w, cuts := p.Window()
	require.Equal(t, 8, w)
	require.Zero(t, cuts)
	p.Foreground(now, 40*time.Millisecond)
	p.Foreground(now, 60*time.Millisecond)
	p.Foreground(now, 60*time.Millisecond) // of the same trouble
	w, cuts = p.Window()
	require.Equal(t, 4, w)
	require.Equal(t, 1, cuts)
	for p.Out() > 0 {
		p.Ended(now, true, WasRefused)
	}
	now += time.Second
	p.Ended(now, true, WasRefused)
	w, _ = p.Window()
	require.Equal(t, 2, w)
	now += time.Second
	for may() {
		p.Offered(now)
	}
	require.Equal(t, 2, p.Out(), "the window")
	p = NewPace(PaceLimits{Window: 100, Waiting: 2, Rate: 1e6})
	for range 50 {
		p.Offered(now)
		p.Sent()
		p.Ended(now, true, Served)
	}
	now += time.Second
	for may() {
		p.Offered(now)
	}
	require.Equal(t, 2, p.Out(), "no more wait unsent")
}

// However fast the results, no more is offered in a second than the rate and what was saved up.
func TestPaceRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 1000).Draw(t, "rate")
		p := NewPace(PaceLimits{Window: 1000, Waiting: 1000, Rate: float64(rate)})
		now, offered := time.Hour, 0
		p.May(now)
		for end := now + 3*time.Second; now < end; {
			if ok, wait := p.May(now); ok {
				p.Offered(now)
				offered++
				p.Ended(now, true, Served)
			} else {
				now += max(wait, time.Microsecond)
			}
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "step")) * time.Microsecond
		}
		require.LessOrEqual(t, offered, 3*rate+rate/10+2)
	})
}
