package jobstore

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

// Guards against the loss of a send that may have run: whatever other sends are recorded and retracted, in any
// order, FirstSend is never later than the earliest send that was not retracted. It is exactly that send if each
// retraction comes before the next send.
func TestFirstSendIsNeverLaterThanEarliest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &State{}
		var open []Send // recorded and not retracted, in order
		inOrder := true // each retraction was of the latest send
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "retract") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "index")
				inOrder = inOrder && *state.LastSend == open[i]
				state.RetractSend(open[i])
				open = append(open[:i:i], open[i+1:]...)
			} else {
				send := state.NumberSend(Send{Cell: rapid.IntRange(0, 2).Draw(t, "cell"), At: time.Duration(step)})
				state.AddSend(send)
				open = append(open, send)
			}
			decoded, _, err := decodeState(encodeState(state))
			require.NoError(t, err)
			require.Equal(t, state, decoded, "a restart changes nothing")
			if len(open) == 0 {
				require.True(t, !inOrder || state.FirstSend == nil)
				continue
			}
			require.NotNil(t, state.FirstSend)
			require.LessOrEqual(t, state.FirstSend.At, open[0].At)
			require.True(t, !inOrder || *state.FirstSend == open[0])
		}
	})
}

// Guards against a second run after an upgrade: an older program removed FirstSend when another attempt could not
// connect, and kept LastSend.
func TestStateOfOlderProgramKeepsItsLastSend(t *testing.T) {
	last := &Send{WorkerName: "a", Zone: 1, Cell: 2, At: 3, Attempt: 1}
	state, _, err := decodeState(encodeState(&State{ID: 1, Sends: 1, LastSend: last}))
	require.NoError(t, err)
	require.Equal(t, last, state.FirstSend)
}
