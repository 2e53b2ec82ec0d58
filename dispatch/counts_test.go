package dispatch

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/balance"
)

// Every final answer is counted once, by class and verdict, including answers given before the core
// accepts the request. A cancelled request is not counted.
func TestFinalAnswersAreCountedOnce(t *testing.T) {
	withCore(t, 2, func(s *balance.Settings) { s.MaxOpenJobs = 6 }, func(c *Core, rec *recorder) {
		submitN(c, rec, 0, 8) // two exceed the limit of open requests
		require.Len(t, rec.answers, 2)
		for i := range 4 { // each outcome makes room for the next attempt
			require.Greater(t, len(rec.attempts), i)
			attempt := rec.attempts[i]
			status := balance.StatusOK
			if i == 3 {
				status = balance.StatusInvalid
			}
			attempt.RecordEvent(Written)
			attempt.RecordEvent(Written) // counted once for each attempt
			c.AttemptEnded(attempt, status, []byte("r"))
			synctest.Wait()
		}
		var cancelled *Request
		for _, attempt := range rec.attempts[4:] {
			if !attempt.Request.finished {
				cancelled = attempt.Request
				break
			}
		}
		require.NotNil(t, cancelled)
		c.CancelRequest(cancelled)
		synctest.Wait()
		counts := c.Counts()[0]
		served, refused, failed := 0, 0, 0
		for _, a := range rec.answers {
			switch a.Verdict {
			case Served:
				served++
			case Refused:
				refused++
			default:
				failed++
			}
		}
		require.Equal(t, ClassCounts{Served: int64(served), Refused: int64(refused), Failed: int64(failed), AttemptsWritten: 4}, counts)
		require.Equal(t, 3, served)
		require.Equal(t, 1, failed)
	})
}
