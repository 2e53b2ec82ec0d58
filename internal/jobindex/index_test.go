package jobindex

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

// Whatever clients do, the book's figures are those of a plain list of jobs and waiters, every
// submission is answered once or its client has left, and a job is given up exactly when its
// last waiter leaves and it is no background job.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerClient: 5, Jobs: 8, Bytes: 100, PerFunction: map[string]int{"f": 4}}
		b := New[int](limits)
		type plain struct {
			job        *Job[int]
			waiters    map[int]int
			background bool
		}
		open := map[string]*plain{}
		find := func(function, unique string) *plain {
			for _, p := range open {
				if unique != "" && p.job.Function == function && p.job.Unique == unique {
					return p
				}
			}
			return nil
		}
		pick := func() *plain {
			handles := make([]string, 0, len(open))
			for _, j := range b.Jobs(-1) {
				handles = append(handles, j.Handle)
			}
			if len(handles) == 0 {
				return nil
			}
			return open[rapid.SampledFrom(handles).Draw(t, "job")]
		}
		n := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w := rapid.IntRange(0, 4).Draw(t, "client")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1: // a submission
				function, unique := rapid.SampledFrom([]string{"f", "g"}).Draw(t, "function"), rapid.SampledFrom([]string{"", "u", "v"}).Draw(t, "unique")
				waits := 0
				for _, p := range open {
					waits += p.waiters[w]
				}
				require.Equal(t, waits, b.SubmissionCount(w))
				if err := b.CheckJoin(w); waits >= limits.PerClient {
					require.ErrorIs(t, err, ErrClientLimit)
					continue
				}
				p := find(function, unique)
				require.Equal(t, p == nil, b.ByKey(function, unique) == nil)
				if p == nil {
					size := rapid.IntRange(0, 40).Draw(t, "size")
					count, bytes := 0, 0
					for _, o := range open {
						bytes += o.job.Size
						if o.job.Function == function && !o.background {
							count++
						}
					}
					err := b.CheckOpen(function, size, 0)
					require.Equal(t, function == "f" && count >= 4 || len(open) >= 8 || bytes+size > 100, err != nil, "%v", err)
					if err != nil {
						continue
					}
					n++
					p = &plain{job: b.Open(fmt.Sprint("H", n), function, unique, size, false), waiters: map[int]int{}}
					open[p.job.Handle] = p
				}
				b.Join(p.job, w)
				p.waiters[w]++
			case 2: // a client leaves
				gone := map[string]bool{}
				for h, p := range open {
					if p.waiters[w] > 0 {
						delete(p.waiters, w)
						if len(p.waiters) == 0 && !p.background {
							gone[h] = true
							delete(open, h)
						}
					}
				}
				givenUp, unwatched := b.RemoveClient(w)
				for _, j := range unwatched {
					require.True(t, j.Background)
					require.Zero(t, j.WaitingSubmissions)
				}
				for _, j := range givenUp {
					require.True(t, gone[j.Handle])
					delete(gone, j.Handle)
					require.Empty(t, b.Close(j), "it has ended")
				}
				require.Empty(t, gone)
			case 3: // an end
				if p := pick(); p != nil {
					require.Equal(t, p.waiters, b.Close(p.job))
					require.Empty(t, b.Close(p.job), "one end")
					delete(open, p.job.Handle)
				}
			case 4: // a background job's offer ends without a result
				if p := pick(); p != nil {
					b.SetBackground(p.job, true)
					p.background = true
					require.Equal(t, p.waiters, b.DetachWaiters(p.job))
					p.waiters = map[int]int{}
				}
			case 5:
				if p := pick(); p != nil {
					share := rapid.Float64Range(0, 1).Draw(t, "share")
					before, running := p.job.Progress, p.job.Running
					require.Equal(t, !running || share > before, b.SetProgress(p.job, share))
				}
			}
			for _, f := range []string{"f", "g"} {
				jobs, running := 0, 0
				for _, p := range open {
					if p.job.Function == f {
						jobs++
						if p.job.Running {
							running++
						}
					}
				}
				gotJobs, gotRunning := b.Counts(f)
				require.Equal(t, []int{jobs, running}, []int{gotJobs, gotRunning})
			}
			require.Len(t, b.Jobs(-1), len(open))
		}
	})
}
