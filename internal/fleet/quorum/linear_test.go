package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// outcome is what a client was told; unsure where it cannot know whether its command was written.
type outcome struct {
	text   string
	unsure bool
}

func told(a ledger.Answer, err error) outcome {
	text, _ := json.Marshal(a)
	return outcome{text: fmt.Sprintf("%s %v", text, err)}
}

var fleetSettings = ledger.Settings{Fleet: "f", Generation: 1, MostMembers: 8}

// oneLedger is a ledger as if there were one, with no failures: its state is a snapshot.
var oneLedger = porcupine.Model{
	Init: func() any {
		data, _ := ledger.New(fleetSettings).Snapshot()
		return string(data)
	},
	Step: func(state, input, output any) (bool, any) {
		s := ledger.New(fleetSettings)
		if err := s.Restore([]byte(state.(string))); err != nil {
			return false, state
		}
		got := told(s.Apply(input.(ledger.Command)))
		if want := output.(outcome); !want.unsure && want != got {
			return false, state
		}
		data, err := s.Snapshot()
		return err == nil, string(data)
	},
}

// Several clients put commands to three voters at once while the one that leads ends and comes back,
// twice: what they were told is what one ledger that never fails would have told, in some order that
// keeps to what was before what.
func TestTheLedgerIsLinearizable(t *testing.T) {
	v := newVoters(t, 3)
	v.lease = time.Hour // no lease lapses: that would be a command that no client knows of
	for name := range v.addrs {
		v.start(name, true)
	}
	var mu sync.Mutex // guards what follows, and v.up
	var history []porcupine.Operation
	asked := 0
	put := func(client int, c ledger.Command) (a ledger.Answer, err error) {
		call := clock()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			require.True(t, time.Now().Before(end), "no voter leads")
			mu.Lock()
			var up []*Voter
			for _, x := range v.up {
				up = append(up, x)
			}
			mu.Unlock()
			for _, x := range up {
				if a, err = x.Apply(c); errors.Is(err, ErrNotLeader) {
					continue
				}
				op := porcupine.Operation{ClientId: client, Input: c, Call: int64(call), Output: told(a, err), Return: int64(clock())}
				if errors.Is(err, ErrUnsure) { // it may be written at any time from now on, or never
					op.Output, op.Return = outcome{unsure: true}, math.MaxInt64
				}
				mu.Lock()
				history = append(history, op)
				asked++
				mu.Unlock()
				return a, err
			}
		}
	}
	var clients sync.WaitGroup
	for i := range 3 {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		clients.Go(func() {
			var me, seq, version uint64
			for n := range uint64(15) {
				c := ledger.Command{Fleet: "f"}
				switch k := rng.IntN(4); {
				case me == 0:
					c.Join = &ledger.Join{Name: fmt.Sprint("c", i), Nonce: n + 1}
				case k == 0:
					c.Set = &ledger.Set{Version: version + 1, Budgets: []ledger.Budget{{Name: "b", Kind: ledger.Held, Whole: int64(1+rng.IntN(9)) * 1000}}}
				case k == 1:
					c.Leave = &ledger.Leave{Incarnation: me}
				default:
					seq++
					c.Ask = &ledger.Ask{Incarnation: me, Seq: seq, Uses: map[string]ledger.Use{"b": {Demand: int64(rng.IntN(9)) * 1000}}}
				}
				a, err := put(i, c)
				version = max(version, a.Version)
				switch {
				case c.Join != nil && err == nil:
					me, seq = a.Incarnation, 0
				case c.Leave != nil || errors.Is(err, ledger.ErrLapsed):
					me = 0
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	for ends, over := 0, false; !over; { // after every dozen commands the one that leads ends for a while
		mu.Lock()
		due := ends < 2 && asked >= 12*(ends+1)
		mu.Unlock()
		if due {
			ends++
			mu.Lock()
			var dead string
			for name, x := range v.up {
				if x.Leader() == name {
					dead = name
				}
			}
			x := v.up[dead]
			delete(v.up, dead)
			mu.Unlock()
			if x != nil {
				require.NoError(t, x.Close())
				y, err := v.try(dead, false)
				require.NoError(t, err)
				mu.Lock()
				v.up[dead] = y
				mu.Unlock()
			}
		}
		select {
		case <-done:
			over = true
		case <-time.After(2 * time.Millisecond):
		}
	}
	unsure := 0
	for _, op := range history {
		if op.Output.(outcome).unsure {
			unsure++
		}
	}
	t.Logf("%d commands, %d of them unsure", len(history), unsure)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(oneLedger, history, time.Minute))
	for _, x := range v.up {
		require.NoError(t, x.Close())
	}
}

// The checker can fail: two that join at once are told of one incarnation.
func TestTwoLedgersAreFound(t *testing.T) {
	join := func(client int, incarnation uint64) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: ledger.Command{Fleet: "f", Join: &ledger.Join{Name: fmt.Sprint(client), Nonce: 1}},
			Call: 1, Return: 9, Output: told(ledger.Answer{Incarnation: incarnation, Generation: 1}, nil)}
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(oneLedger, []porcupine.Operation{join(0, 2), join(1, 1)}, time.Minute))
	require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(oneLedger, []porcupine.Operation{join(0, 1), join(1, 1)}, time.Minute))
}
