package jobindex

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "tinroute.example/tinroute/internal/seeded"
)

// Random operations on an Index are compared with a plain model of jobs and waiters. The counts
// must match, every submission must be answered once unless its client has left, and a job must be
// cancelled exactly when its last waiter leaves and it is not a background job.
func TestIndexMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerClient: 5, Jobs: 8, Bytes: 100, PerFunction: map[string]int{"f": 4}}
		index := New[int](limits)
		type modelJob struct {
			job        *Job[int]
			waiters    map[int]int
			background bool
		}
		open := map[string]*modelJob{}
		find := func(function, unique string) *modelJob {
			for _, model := range open {
				if unique != "" && model.job.Function == function && model.job.Unique == unique {
					return model
				}
			}
			return nil
		}
		pick := func() *modelJob {
			handles := make([]string, 0, len(open))
			for _, j := range index.Jobs(-1) {
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
				waiting := 0
				for _, model := range open {
					waiting += model.waiters[w]
				}
				require.Equal(t, waiting, index.SubmissionCount(w))
				if err := index.CheckJoin(w); waiting >= limits.PerClient {
					require.ErrorIs(t, err, ErrClientLimit)
					continue
				}
				model := find(function, unique)
				require.Equal(t, model == nil, index.ByKey(function, unique) == nil)
				if model == nil {
					size := rapid.IntRange(0, 40).Draw(t, "size")
					count, bytes := 0, 0
					for _, o := range open {
						bytes += o.job.Size
						if o.job.Function == function && !o.background {
							count++
						}
					}
					err := index.CheckOpen(function, size, 0)
					require.Equal(t, function == "f" && count >= 4 || len(open) >= 8 || bytes+size > 100, err != nil, "%v", err)
					if err != nil {
						continue
					}
					n++
					model = &modelJob{job: index.Open(fmt.Sprint("H", n), function, unique, size, false), waiters: map[int]int{}}
					open[model.job.Handle] = model
				}
				index.Join(model.job, w)
				model.waiters[w]++
			case 2: // a client leaves
				mustCancel := map[string]bool{}
				for h, model := range open {
					if model.waiters[w] > 0 {
						delete(model.waiters, w)
						if len(model.waiters) == 0 && !model.background {
							mustCancel[h] = true
							delete(open, h)
						}
					}
				}
				cancelled, withoutWaiters := index.RemoveClient(w)
				for _, j := range withoutWaiters {
					require.True(t, j.Background)
					require.Zero(t, j.WaitingSubmissions)
				}
				for _, j := range cancelled {
					require.True(t, mustCancel[j.Handle])
					delete(mustCancel, j.Handle)
					require.Empty(t, index.Close(j), "the job was already closed")
				}
				require.Empty(t, mustCancel)
			case 3: // a job ends
				if model := pick(); model != nil {
					require.Equal(t, model.waiters, index.Close(model.job))
					require.Empty(t, index.Close(model.job), "a job is closed only once")
					delete(open, model.job.Handle)
				}
			case 4: // a background job's offer ends without a result
				if model := pick(); model != nil {
					index.SetBackground(model.job, true)
					model.background = true
					require.Equal(t, model.waiters, index.DetachWaiters(model.job))
					model.waiters = map[int]int{}
				}
			case 5:
				if model := pick(); model != nil {
					share := rapid.Float64Range(0, 1).Draw(t, "share")
					before, running := model.job.Progress, model.job.Running
					require.Equal(t, !running || share > before, index.SetProgress(model.job, share))
				}
			}
			for _, f := range []string{"f", "g"} {
				jobs, running := 0, 0
				for _, model := range open {
					if model.job.Function == f {
						jobs++
						if model.job.Running {
							running++
						}
					}
				}
				gotJobs, gotRunning := index.Counts(f)
				require.Equal(t, []int{jobs, running}, []int{gotJobs, gotRunning})
			}
			require.Len(t, index.Jobs(-1), len(open))
		}
	})
}
