package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// modelHolder is a holder without clocks. The end of its lease is an event, and the leader may expire it only
// after that event.
type modelHolder struct {
	Incarnation, Seq uint64
	Share            int64
	LeaseSeq         uint64 // the renewal whose answer it uses
	Leased           bool
	ExpiredSeq       uint64 // leases of renewals up to this one have ended
	InUse            int64
}

type message struct {
	Holder int // the index of the holder that sends the renewal or receives the answer
	Renew  *Renew
	Answer *Answer
}

// modelState is one state of a small fleet.
type modelState struct {
	Ledger   json.RawMessage
	Holders  []modelHolder
	Messages []message
}

func (s modelState) clone() modelState {
	s.Holders = append([]modelHolder(nil), s.Holders...)
	s.Messages = append([]message(nil), s.Messages...)
	return s
}

// exploreStates visits every state that a few holders can reach with a few renewals each, in any order of
// events and with any messages lost. It returns the number of states, and the first one in which more slots
// are in use than the total.
func exploreStates(t *testing.T, holders int, total int64, renewals uint64, defect string) (int, string) {
	start := New(Settings{Fleet: "f", Generation: 1, MaxMembers: 4})
	_, err := start.Apply(Command{Fleet: "f", SetBudgets: &SetBudgets{Version: 1, Budgets: []Budget{{Name: "b", Kind: KindConcurrency, Total: total * unit}}}})
	require.NoError(t, err)
	var initial modelState
	for i := range holders {
		a, err := start.Apply(Command{Fleet: "f", Join: &Join{Name: fmt.Sprint(i), Nonce: 1}})
		require.NoError(t, err)
		initial.Holders = append(initial.Holders, modelHolder{Incarnation: a.Incarnation})
	}
	initial.Ledger, err = start.Snapshot()
	require.NoError(t, err)

	seen := map[string]bool{}
	pending := []modelState{initial}
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		slices.SortFunc(state.Messages, func(a, b message) int { // states that differ only in message order are the same
			x, _ := json.Marshal(a)
			y, _ := json.Marshal(b)
			return bytes.Compare(x, y)
		})
		key, err := json.Marshal(state)
		require.NoError(t, err)
		if seen[string(key)] {
			continue
		}
		seen[string(key)] = true
		inUse := int64(0)
		for _, h := range state.Holders {
			inUse += h.InUse
		}
		if inUse > total {
			return len(seen), string(key)
		}
		apply := func(next *modelState, c Command) (Answer, error) {
			s := New(Settings{Fleet: "f", Generation: 1, MaxMembers: 4})
			require.NoError(t, s.Restore(next.Ledger))
			a, err := s.Apply(c)
			next.Ledger, _ = s.Snapshot()
			return a, err
		}
		for i, h := range state.Holders {
			if h.Seq < renewals {
				next := state.clone()
				renewing := &next.Holders[i]
				renewing.Seq++
				maxUse := renewing.InUse * unit
				if renewing.Leased {
					maxUse = max(maxUse, renewing.Share)
				}
				next.Messages = append(next.Messages, message{Holder: i, Renew: &Renew{Incarnation: h.Incarnation, Seq: renewing.Seq,
					Usage: map[string]Usage{"b": {MaxUse: maxUse, Demand: total * unit}}}})
				pending = append(pending, next)
			}
			if h.Leased && (h.InUse+1)*unit <= h.Share {
				next := state.clone()
				next.Holders[i].InUse++
				pending = append(pending, next)
			}
			if h.InUse > 0 {
				next := state.clone()
				next.Holders[i].InUse--
				pending = append(pending, next)
			}
			if h.Leased { // its lease ends
				next := state.clone()
				next.Holders[i].Leased = false
				next.Holders[i].ExpiredSeq = h.LeaseSeq
				pending = append(pending, next)
			} else if h.ExpiredSeq < h.Seq { // enough time passes that no answer in flight is valid
				next := state.clone()
				next.Holders[i].ExpiredSeq = h.Seq
				pending = append(pending, next)
			}
			if s := New(Settings{Fleet: "f", Generation: 1, MaxMembers: 4}); s.Restore(state.Ledger) == nil && s.members[h.Incarnation] != nil {
				recorded := s.members[h.Incarnation]
				if !recorded.Expired && recorded.Seq > 0 && recorded.Seq <= h.ExpiredSeq {
					next := state.clone()
					_, err := apply(&next, Command{Fleet: "f", Expire: &Expire{h.Incarnation, recorded.Seq}})
					require.NoError(t, err)
					pending = append(pending, next)
				}
				if recorded.Expired && (h.InUse == 0 || defect == "slots freed at expiry") {
					next := state.clone()
					_, err := apply(&next, Command{Fleet: "f", Release: &Release{h.Incarnation}})
					require.NoError(t, err)
					pending = append(pending, next)
				}
			}
		}
		for k, msg := range state.Messages {
			lost := state.clone()
			lost.Messages = append(lost.Messages[:k:k], state.Messages[k+1:]...)
			pending = append(pending, lost)
			next := lost.clone()
			if msg.Renew != nil {
				a, err := apply(&next, Command{Fleet: "f", Renew: msg.Renew})
				if err == nil {
					next.Messages = append(next.Messages, message{Holder: msg.Holder, Answer: &a})
				}
			} else if h := &next.Holders[msg.Holder]; (msg.Answer.Seq == h.Seq || defect == "stale answers accepted") && msg.Answer.Seq > h.ExpiredSeq {
				h.Share, h.Leased, h.LeaseSeq = msg.Answer.Shares["b"].Amount, true, msg.Answer.Seq
			}
			pending = append(pending, next)
		}
	}
	return len(seen), ""
}

// Checks every state of two holders with two slots and two renewals each, and of three holders with one slot
// and one renewal each.
func TestConcurrencyTotalHoldsInEveryState(t *testing.T) {
	twoHolders, violation := exploreStates(t, 2, 2, 2, "")
	require.Empty(t, violation)
	t.Logf("%d states of two holders", twoHolders)
	require.Greater(t, twoHolders, 1000)
	threeHolders, violation := exploreStates(t, 3, 1, 1, "")
	require.Empty(t, violation)
	t.Logf("%d states of three holders", threeHolders)
}

func TestExploreStatesFindsInjectedDefects(t *testing.T) {
	for _, defect := range []string{"slots freed at expiry", "stale answers accepted"} {
		_, violation := exploreStates(t, 2, 2, 2, defect)
		require.NotEmpty(t, violation, defect)
	}
}
