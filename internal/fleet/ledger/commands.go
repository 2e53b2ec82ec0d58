package ledger

import (
	"errors"
)

// Kind is the kind of quantity that a budget limits.
type Kind string

// KindRate limits a rate with a burst. KindConcurrency limits how many slots, such as connections, are in
// use at once.
const (
	KindRate        Kind = "rate"
	KindConcurrency Kind = "held"
)

// unit is one whole unit in the thousandths that amounts are counted in.
const unit = 1000

// AllocationRule is how a budget is divided for the members of one name. Floor and Ceiling are in thousandths.
type AllocationRule struct {
	Weight  int64 `json:"weight,omitempty"`  // 0 means 1
	Floor   int64 `json:"floor,omitempty"`   // guaranteed; also usable after the lease unless the budget lends floors
	Ceiling int64 `json:"ceiling,omitempty"` // the most it may have, 0 for no limit
}

// Budget is one fleet-wide limit that is divided among the members.
type Budget struct {
	Name       string                    `json:"name"`
	Kind       Kind                      `json:"kind"`
	Total      int64                     `json:"whole"`           // in thousandths: per second for a rate, of slots for concurrency
	Burst      int64                     `json:"burst,omitempty"` // rates only: the most tokens that all members accumulate together, at least one unit per member
	LendFloors bool                      `json:"lend,omitempty"`  // floors of absent members may be used by others
	Rules      map[string]AllocationRule `json:"parts,omitempty"` // by member name; other names have weight 1
}

// Settings identify a ledger. They are fixed when it is bootstrapped.
type Settings struct {
	Fleet      string `json:"fleet"`        // commands for another fleet are rejected
	Generation uint64 `json:"generation"`   // increased when the ledger is bootstrapped again after its state was lost
	MaxMembers int    `json:"most_members"` // live and expired members together
}

// Command is one entry of the raft log. Exactly one of the pointers is set. The JSON keys of commands, answers
// and snapshots are stored and sent to peers of other versions, so they keep their original names.
type Command struct {
	Fleet      string      `json:"fleet"`
	Join       *Join       `json:"join,omitempty"`
	Renew      *Renew      `json:"ask,omitempty"`
	Leave      *Leave      `json:"leave,omitempty"`
	Expire     *Expire     `json:"lapse,omitempty"`
	Release    *Release    `json:"release,omitempty"`
	SetBudgets *SetBudgets `json:"set,omitempty"`
}

// Join adds a member. It is idempotent: the same name and nonce return the same incarnation.
type Join struct {
	Name  string `json:"name"`
	Nonce uint64 `json:"nonce"`
}

// Usage is what a member reports about one budget.
type Usage struct {
	MaxUse int64 `json:"holding"`         // the most it may use until it receives the answer
	Burst  int64 `json:"burst,omitempty"` // the most tokens it may accumulate until then
	Demand int64 `json:"demand"`
}

// Renew renews a member's lease and requests shares. Seq increases with each renewal of an incarnation; once
// a member has sent one, it ignores the answers to all earlier ones.
type Renew struct {
	Incarnation uint64           `json:"incarnation"`
	Seq         uint64           `json:"seq"`
	Usage       map[string]Usage `json:"uses,omitempty"`
}

// Leave removes a member that no longer uses any share.
type Leave struct {
	Incarnation uint64 `json:"incarnation"`
}

// Expire ends the lease of a member that has not renewed it since Seq.
type Expire struct {
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
}

// Release removes an expired member and frees what was still granted to it.
type Release struct {
	Incarnation uint64 `json:"incarnation"`
}

// SetBudgets replaces all budgets. Version must be the next one.
type SetBudgets struct {
	Version uint64   `json:"version"`
	Budgets []Budget `json:"budgets"`
}

// Share is the part of one budget that a member is granted.
type Share struct {
	Amount      int64 `json:"amount"`
	Floor       int64 `json:"floor,omitempty"` // usable after the lease has ended
	Burst       int64 `json:"burst,omitempty"`
	MorePending bool  `json:"more,omitempty"` // a clearly larger share follows once others have reported that they use less
}

// Answer is the result of a command.
type Answer struct {
	Incarnation uint64           `json:"incarnation,omitempty"`
	Seq         uint64           `json:"seq,omitempty"`
	Generation  uint64           `json:"generation"`
	Version     uint64           `json:"version"`          // of the budgets
	Shares      map[string]Share `json:"shares,omitempty"` // by budget name
}

// The errors that the sender of a command can act on. Their texts are sent to peers.
var (
	ErrWrongFleet      = errors.New("ledger: another fleet's command")
	ErrExpired         = errors.New("ledger: no such member, or its lease has lapsed; it has to join anew")
	ErrStale           = errors.New("ledger: an older ask than the last one")
	ErrTooManyMembers  = errors.New("ledger: no room for another member")
	ErrVersionMismatch = errors.New("ledger: not the next version")
)
