package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// holder is a holder without clocks: that its lease ends is something that happens, and the leader may
// only let it lapse once that has.
type holder struct {
	Inc, Seq  uint64
	Share     int64
	LeaseOf   uint64 // the ask whose answer it goes by
	Live      bool
	EndedUpTo uint64 // leases of asks up to this one are over
	Pieces    int64
}

type message struct {
	To     int // the holder that asked
	Ask    *Ask
	Answer *Answer
}

// node is one state of a small fleet.
type node struct {
	Ledger   json.RawMessage
	Holders  []holder
	Messages []message
}

func (n node) copy() node {
	n.Holders = append([]holder(nil), n.Holders...)
	n.Messages = append([]message(nil), n.Messages...)
	return n
}

// walk visits every state that a few holders with a few asks each can come to, whatever order things
// happen in and whatever is lost, and returns how many there are and the first in which more pieces
// are held than there are.
func walk(t *testing.T, holders int, pieces int64, asks uint64, defect string) (int, string) {
	start := New(Settings{Fleet: "f", Generation: 1, MostMembers: 4})
	_, err := start.Apply(Command{Fleet: "f", Set: &Set{Version: 1, Budgets: []Budget{{Name: "b", Kind: Held, Whole: pieces * milli}}}})
	require.NoError(t, err)
	var first node
	for i := range holders {
		a, err := start.Apply(Command{Fleet: "f", Join: &Join{Name: fmt.Sprint(i), Nonce: 1}})
		require.NoError(t, err)
		first.Holders = append(first.Holders, holder{Inc: a.Incarnation})
	}
	first.Ledger, err = start.Snapshot()
	require.NoError(t, err)

	seen := map[string]bool{}
	todo := []node{first}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		slices.SortFunc(n.Messages, func(a, b message) int { // their order is not a state
			x, _ := json.Marshal(a)
			y, _ := json.Marshal(b)
			return bytes.Compare(x, y)
		})
		key, err := json.Marshal(n)
		require.NoError(t, err)
		if seen[string(key)] {
			continue
		}
		seen[string(key)] = true
		held := int64(0)
		for _, h := range n.Holders {
			held += h.Pieces
		}
		if held > pieces {
			return len(seen), string(key)
		}
		apply := func(m *node, c Command) (Answer, error) {
			s := New(Settings{Fleet: "f", Generation: 1, MostMembers: 4})
			require.NoError(t, s.Restore(m.Ledger))
			a, err := s.Apply(c)
			m.Ledger, _ = s.Snapshot()
			return a, err
		}
		for i, h := range n.Holders {
			if h.Seq < asks {
				m := n.copy()
				x := &m.Holders[i]
				x.Seq++
				holding := x.Pieces * milli
				if x.Live {
					holding = max(holding, x.Share)
				}
				m.Messages = append(m.Messages, message{To: i, Ask: &Ask{Incarnation: h.Inc, Seq: x.Seq,
					Uses: map[string]Use{"b": {Holding: holding, Demand: pieces * milli}}}})
				todo = append(todo, m)
			}
			if h.Live && (h.Pieces+1)*milli <= h.Share {
				m := n.copy()
				m.Holders[i].Pieces++
				todo = append(todo, m)
			}
			if h.Pieces > 0 {
				m := n.copy()
				m.Holders[i].Pieces--
				todo = append(todo, m)
			}
			if h.Live { // its lease ends
				m := n.copy()
				m.Holders[i].Live = false
				m.Holders[i].EndedUpTo = h.LeaseOf
				todo = append(todo, m)
			} else if h.EndedUpTo < h.Seq { // so much time passes that no answer on its way is good
				m := n.copy()
				m.Holders[i].EndedUpTo = h.Seq
				todo = append(todo, m)
			}
			if s := New(Settings{Fleet: "f", Generation: 1, MostMembers: 4}); s.Restore(n.Ledger) == nil && s.members[h.Inc] != nil {
				was := s.members[h.Inc]
				if !was.Lapsed && was.Seq > 0 && was.Seq <= h.EndedUpTo {
					m := n.copy()
					_, err := apply(&m, Command{Fleet: "f", Lapse: &Lapse{h.Inc, was.Seq}})
					require.NoError(t, err)
					todo = append(todo, m)
				}
				if was.Lapsed && (h.Pieces == 0 || defect == "held freed at lapse") {
					m := n.copy()
					_, err := apply(&m, Command{Fleet: "f", Release: &Release{h.Inc}})
					require.NoError(t, err)
					todo = append(todo, m)
				}
			}
		}
		for k, msg := range n.Messages {
			lost := n.copy()
			lost.Messages = append(lost.Messages[:k:k], n.Messages[k+1:]...)
			todo = append(todo, lost)
			m := lost.copy()
			if msg.Ask != nil {
				a, err := apply(&m, Command{Fleet: "f", Ask: msg.Ask})
				if err == nil {
					m.Messages = append(m.Messages, message{To: msg.To, Answer: &a})
				}
			} else if h := &m.Holders[msg.To]; (msg.Answer.Seq == h.Seq || defect == "older answers count") && msg.Answer.Seq > h.EndedUpTo {
				h.Share, h.Live, h.LeaseOf = msg.Answer.Shares["b"].Amount, true, msg.Answer.Seq
			}
			todo = append(todo, m)
		}
	}
	return len(seen), ""
}

// Every state of two holders of two pieces with two asks each, and of three of one piece with one.
func TestEveryStateOfASmallFleet(t *testing.T) {
	n, broken := walk(t, 2, 2, 2, "")
	require.Empty(t, broken)
	t.Logf("%d states of two holders", n)
	require.Greater(t, n, 1000)
	m, broken := walk(t, 3, 1, 1, "")
	require.Empty(t, broken)
	t.Logf("%d states of three holders", m)
}

func TestTheWalkFindsDefects(t *testing.T) {
	for _, defect := range []string{"held freed at lapse", "older answers count"} {
		_, broken := walk(t, 2, 2, 2, defect)
		require.NotEmpty(t, broken, defect)
	}
}
