package budget

import (
	"errors"
	"time"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// Holder is one process's dealings with the ledger: it joins, asks, and takes answers in. It sends
// nothing itself: Next is what to send, Answered what came back.
type Holder struct {
	fleet, name string
	nonce       uint64
	terms       ledger.Terms
	incarnation uint64
	seq         uint64
	asked       time.Duration // when the last ask was made
	rates       map[string]*Rate
	helds       map[string]pieces
	version     uint64
	ends        time.Duration
	more        bool // the last answer said that more is due once others have given it up
}

// NewHolder returns a holder that has joined nothing yet. The nonce tells this process from an earlier
// or another one of its name: it has to be drawn anew for each.
func NewHolder(fleet, name string, nonce uint64, t ledger.Terms) *Holder {
	return &Holder{fleet: fleet, name: name, nonce: nonce, terms: t, rates: map[string]*Rate{}, helds: map[string]pieces{}}
}

// Rate returns the rate of that name, which admits nothing before a grant of it has come.
func (h *Holder) Rate(name string) *Rate {
	r := h.rates[name]
	if r == nil {
		r = &Rate{slow: int64(h.terms.Drift * 1e6)}
		h.rates[name] = r
	}
	return r
}

// Held returns the budget of pieces of that name, which admits nothing before a grant of it has come.
func (h *Holder) Held(name string) *Held {
	x, ok := h.helds[name].(*Held)
	if !ok {
		x = &Held{}
		h.helds[name] = x
	}
	return x
}

// Each returns the budget of pieces at each place of that name, which admits nothing before a grant of it has
// come.
func (h *Holder) Each(name string) *Each {
	x, ok := h.helds[name].(*Each)
	if !ok {
		x = &Each{}
		h.helds[name] = x
	}
	return x
}

// pieces is a budget of what is held at once.
type pieces interface {
	Set(now time.Duration, g Grant)
	Holding(now time.Duration) int64
	Demand(now time.Duration) int64
}

// Ends is when the lease ends; Version is that of the budgets last heard of; Incarnation is 0 before
// the fleet has been joined.
func (h *Holder) Ends() time.Duration { return h.ends }

// Version is the number of the budgets last heard of.
func (h *Holder) Version() uint64 { return h.version }

// Incarnation is this process's, 0 before it has joined.
func (h *Holder) Incarnation() uint64 { return h.incarnation }

// Early tells whether to ask before the usual time: the demand has moved, or more is due than was granted.
func (h *Holder) Early(now time.Duration) bool {
	if h.incarnation == 0 || h.more {
		return h.more
	}
	for _, r := range h.rates {
		if r.Moved(now) {
			return true
		}
	}
	return false
}

// Next is what to send now. Each call gives up the answers to all asks before it, so it may be called
// again whenever an answer takes too long.
func (h *Holder) Next(now time.Duration) ledger.Command {
	if h.incarnation == 0 {
		return ledger.Command{Fleet: h.fleet, Join: &ledger.Join{Name: h.name, Nonce: h.nonce}}
	}
	h.seq++
	h.asked = now // before it is sent: the lease counts from here
	a := &ledger.Ask{Incarnation: h.incarnation, Seq: h.seq, Uses: map[string]ledger.Use{}}
	for name, r := range h.rates {
		a.Uses[name] = ledger.Use{Holding: r.Holding(now), Burst: r.Burst(now), Demand: r.Demand(now)}
	}
	for name, x := range h.helds {
		a.Uses[name] = ledger.Use{Holding: x.Holding(now), Demand: x.Demand(now)}
	}
	return ledger.Command{Fleet: h.fleet, Ask: a}
}

// Answered takes what came back. What is not the answer to the last thing sent changes nothing.
func (h *Holder) Answered(now time.Duration, a ledger.Answer, err error) {
	switch {
	case h.incarnation == 0:
		if err == nil && a.Seq == 0 {
			h.incarnation = a.Incarnation
		}
		return
	case errors.Is(err, ledger.ErrLapsed) && a.Incarnation == h.incarnation:
		// Pieces still held go on counting where they were granted, and in the next asks too. A rate's floor
		// is kept under the old incarnation until its release: claimed by the new one too, it would be
		// granted twice.
		h.incarnation, h.seq, h.more = 0, 0, false
		h.nonce++
		for _, r := range h.rates {
			r.Set(now, Grant{})
		}
		return
	case err != nil || a.Incarnation != h.incarnation || a.Seq != h.seq:
		return
	}
	h.version, h.more = a.Version, false
	h.ends = h.terms.Holder(h.asked)
	until := h.terms.Until(h.asked)
	for name, r := range h.rates {
		s := a.Shares[name]
		h.more = h.more || s.More
		r.Set(now, Grant{Share: s.Amount, Floor: s.Floor, Burst: s.Burst, Ends: h.ends, Until: until})
	}
	for name, x := range h.helds {
		s := a.Shares[name]
		h.more = h.more || s.More
		x.Set(now, Grant{Share: s.Amount, Floor: s.Floor, Ends: h.ends, Until: until})
	}
}
