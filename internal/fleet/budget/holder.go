package budget

import (
	"errors"
	"time"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// Holder is the protocol state of one member process: it joins the ledger, renews its lease and applies
// the answers. It sends nothing itself; NextCommand returns what to send and HandleAnswer handles the reply.
type Holder struct {
	fleet, name   string
	nonce         uint64
	timing        ledger.Timing
	incarnation   uint64
	seq           uint64
	renewedAt     time.Duration // when the last renewal was made
	rateLimiters  map[string]*RateLimiter
	semaphores    map[string]semaphore
	budgetVersion uint64
	leaseEnd      time.Duration
	morePending   bool // the last answer said that a larger share is pending until others reduce theirs
}

// NewHolder returns a holder that has not joined yet. The nonce distinguishes this process from earlier
// or other ones of the same name and must be drawn anew for each process.
func NewHolder(fleet, name string, nonce uint64, timing ledger.Timing) *Holder {
	return &Holder{fleet: fleet, name: name, nonce: nonce, timing: timing, rateLimiters: map[string]*RateLimiter{}, semaphores: map[string]semaphore{}}
}

// RateLimiter returns the rate limiter of the named budget. It admits nothing until a share is granted.
func (h *Holder) RateLimiter(name string) *RateLimiter {
	r := h.rateLimiters[name]
	if r == nil {
		r = &RateLimiter{driftPPM: int64(h.timing.MaxDrift * 1e6)}
		h.rateLimiters[name] = r
	}
	return r
}

// Semaphore returns the semaphore of the named budget. It admits nothing until a share is granted.
func (h *Holder) Semaphore(name string) *Semaphore {
	s, ok := h.semaphores[name].(*Semaphore)
	if !ok {
		s = &Semaphore{}
		h.semaphores[name] = s
	}
	return s
}

// KeyedSemaphore returns the keyed semaphore of the named budget. It admits nothing until a share is
// granted.
func (h *Holder) KeyedSemaphore(name string) *KeyedSemaphore {
	s, ok := h.semaphores[name].(*KeyedSemaphore)
	if !ok {
		s = &KeyedSemaphore{}
		h.semaphores[name] = s
	}
	return s
}

// semaphore is the part of Semaphore and KeyedSemaphore that renewals use.
type semaphore interface {
	SetGrant(now time.Duration, g Grant)
	MaxUse(now time.Duration) int64
	SampleDemand(now time.Duration) int64
}

// LeaseEnd returns when the lease ends, by the holder's clock.
func (h *Holder) LeaseEnd() time.Duration { return h.leaseEnd }

// BudgetVersion returns the version of the budgets in the last answer.
func (h *Holder) BudgetVersion() uint64 { return h.budgetVersion }

// Incarnation returns the incarnation that the ledger assigned to this process, 0 before it has joined.
func (h *Holder) Incarnation() uint64 { return h.incarnation }

// RenewEarly reports whether to renew before the usual time, because the demand has changed or a larger
// share is pending.
func (h *Holder) RenewEarly(now time.Duration) bool {
	if h.incarnation == 0 || h.morePending {
		return h.morePending
	}
	for _, r := range h.rateLimiters {
		if r.DemandChanged(now) {
			return true
		}
	}
	return false
}

// NextCommand returns the command to send now. After each call, answers to earlier renewals are ignored,
// so it may be called again if an answer is late.
func (h *Holder) NextCommand(now time.Duration) ledger.Command {
	if h.incarnation == 0 {
		return ledger.Command{Fleet: h.fleet, Join: &ledger.Join{Name: h.name, Nonce: h.nonce}}
	}
	h.seq++
	h.renewedAt = now // before it is sent: the lease starts here
	renewal := &ledger.Renew{Incarnation: h.incarnation, Seq: h.seq, Usage: map[string]ledger.Usage{}}
	for name, r := range h.rateLimiters {
		renewal.Usage[name] = ledger.Usage{MaxUse: r.MaxUse(now), Burst: r.MaxBurst(now), Demand: r.SampleDemand(now)}
	}
	for name, sem := range h.semaphores {
		renewal.Usage[name] = ledger.Usage{MaxUse: sem.MaxUse(now), Demand: sem.SampleDemand(now)}
	}
	return ledger.Command{Fleet: h.fleet, Renew: renewal}
}

// HandleAnswer applies the answer or error to the last command sent. Any other answer is ignored.
func (h *Holder) HandleAnswer(now time.Duration, answer ledger.Answer, err error) {
	switch {
	case h.incarnation == 0:
		if err == nil && answer.Seq == 0 {
			h.incarnation = answer.Incarnation
		}
		return
	case errors.Is(err, ledger.ErrExpired) && answer.Incarnation == h.incarnation:
		// Slots still in use stay counted under the old incarnation and are reported in the next renewals
		// too. A rate's floor stays granted to the old incarnation until that is released; if the new one
		// claimed it as well, it would be granted twice.
		h.incarnation, h.seq, h.morePending = 0, 0, false
		h.nonce++
		for _, r := range h.rateLimiters {
			r.SetGrant(now, Grant{})
		}
		return
	case err != nil || answer.Incarnation != h.incarnation || answer.Seq != h.seq:
		return
	}
	h.budgetVersion, h.morePending = answer.Version, false
	h.leaseEnd = h.timing.LeaseEnd(h.renewedAt)
	floorEnd := h.timing.FloorEnd(h.renewedAt)
	for name, r := range h.rateLimiters {
		share := answer.Shares[name]
		h.morePending = h.morePending || share.MorePending
		r.SetGrant(now, Grant{Share: share.Amount, Floor: share.Floor, Burst: share.Burst, LeaseEnd: h.leaseEnd, FloorEnd: floorEnd})
	}
	for name, sem := range h.semaphores {
		share := answer.Shares[name]
		h.morePending = h.morePending || share.MorePending
		sem.SetGrant(now, Grant{Share: share.Amount, Floor: share.Floor, LeaseEnd: h.leaseEnd, FloorEnd: floorEnd})
	}
}
