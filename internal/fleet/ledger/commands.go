package ledger

import (
	"errors"
)

// Kind is what a budget counts.
type Kind string

// The kinds: a rate with a burst, and what is held at once, in whole pieces.
const (
	Rate Kind = "rate"
	Held Kind = "held"
)

// milli is one unit of a budget's amounts.
const milli = 1000

// Part is one name's place in a budget, in thousandths.
type Part struct {
	Weight  int64 `json:"weight,omitempty"` // 1 where 0
	Floor   int64 `json:"floor,omitempty"`
	Ceiling int64 `json:"ceiling,omitempty"`
}

// Budget is one whole.
type Budget struct {
	Name  string          `json:"name"`
	Kind  Kind            `json:"kind"`
	Whole int64           `json:"whole"`           // thousandths: a second for a rate, of pieces for what is held
	Burst int64           `json:"burst,omitempty"` // rates: the most that the fleet has saved up, at least a unit for each member
	Lend  bool            `json:"lend,omitempty"`  // floors of names that are not there may be used by others
	Parts map[string]Part `json:"parts,omitempty"` // by member name; others have weight 1
}

// Settings are the fleet's, fixed at its beginning.
type Settings struct {
	Fleet       string `json:"fleet"`        // a command for another is refused
	Generation  uint64 `json:"generation"`   // of the ledger: one begun anew after a loss has a higher one
	MostMembers int    `json:"most_members"` // live and lapsed together
}

// Command is one entry of the log: exactly one of its parts is set.
type Command struct {
	Fleet   string   `json:"fleet"`
	Join    *Join    `json:"join,omitempty"`
	Ask     *Ask     `json:"ask,omitempty"`
	Leave   *Leave   `json:"leave,omitempty"`
	Lapse   *Lapse   `json:"lapse,omitempty"`
	Release *Release `json:"release,omitempty"`
	Set     *Set     `json:"set,omitempty"`
}

// Join makes a member. The same nonce sent again gets the same incarnation.
type Join struct {
	Name  string `json:"name"`
	Nonce uint64 `json:"nonce"`
}

// Use is a member's word on one budget.
type Use struct {
	Holding int64 `json:"holding"`         // the most it may use until it hears the answer
	Burst   int64 `json:"burst,omitempty"` // the most it may have saved up until then
	Demand  int64 `json:"demand"`
}

// Ask renews a lease and asks for shares. Seq rises with each ask of an incarnation; by sending it
// the member gives up the answers to all earlier ones.
type Ask struct {
	Incarnation uint64         `json:"incarnation"`
	Seq         uint64         `json:"seq"`
	Uses        map[string]Use `json:"uses,omitempty"`
}

// Leave ends a member that uses nothing any more.
type Leave struct {
	Incarnation uint64 `json:"incarnation"`
}

// Lapse ends the lease of a member that has said nothing since Seq.
type Lapse struct {
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
}

// Release frees what a lapsed member kept.
type Release struct {
	Incarnation uint64 `json:"incarnation"`
}

// Set takes over budgets as one version, which must be the next.
type Set struct {
	Version uint64   `json:"version"`
	Budgets []Budget `json:"budgets"`
}

// Share is what a member is granted of one budget.
type Share struct {
	Amount int64 `json:"amount"`
	Floor  int64 `json:"floor,omitempty"` // to be used after the lease has ended
	Burst  int64 `json:"burst,omitempty"`
	More   bool  `json:"more,omitempty"` // clearly more is due, once others have said that they hold less
}

// Answer is what a command came to.
type Answer struct {
	Incarnation uint64           `json:"incarnation,omitempty"`
	Seq         uint64           `json:"seq,omitempty"`
	Generation  uint64           `json:"generation"`
	Version     uint64           `json:"version"` // of the budgets
	Shares      map[string]Share `json:"shares,omitempty"`
}

// The errors that a sender can act on.
var (
	ErrForeign = errors.New("ledger: another fleet's command")
	ErrLapsed  = errors.New("ledger: no such member, or its lease has lapsed; it has to join anew")
	ErrOld     = errors.New("ledger: an older ask than the last one")
	ErrFull    = errors.New("ledger: no room for another member")
	ErrVersion = errors.New("ledger: not the next version")
)
