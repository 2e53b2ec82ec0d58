package balance_test

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
)

// printer is a Host that prints the actions.
type printer struct{}

func (printer) Send(j balance.JobID, w balance.WorkerID, _ time.Duration) {
	fmt.Printf("job %d to worker %d\n", j, w)
}
func (printer) Cancel(j balance.JobID, attempt int) {
	fmt.Printf("cancel job %d attempt %d\n", j, attempt)
}
func (printer) Refuse(j balance.JobID, _ time.Duration) { fmt.Printf("refuse job %d\n", j) }
func (printer) Fail(j balance.JobID)                    { fmt.Printf("fail job %d\n", j) }
func (printer) SetTimer(time.Duration, uint64)          {} // a real Host calls TimerFired with the token
func (printer) Watch()                                  {}
func (printer) Fetch()                                  {}
func (printer) SendToPeer(int, []byte)                  {}
func (printer) Probe(balance.WorkerID)                  {}
func (printer) Log(text string)                         { fmt.Println(text) }

// A worker with one slot gets the first job. The second job waits until the first ends.
func ExampleBalancer() {
	b, err := balance.New(balance.Settings{
		FleetSize: 1, WorkerKinds: 1, MaxAttempts: 3, AllowCancel: true, ConnectTimeout: 200 * time.Millisecond,
		Classes: []balance.Class{{Name: "resize", Target: time.Second, Stretch: 2, Deadline: 10 * time.Second,
			Worth: 1, Idempotency: balance.Idempotent, WorkerKind: -1}},
	}, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.UpdateMembers(0, balance.UpdateFull, []balance.Member{{ID: 7, Weight: 1}})
	for id := balance.JobID(1); id <= 2; id++ {
		b.SubmitJob(0, balance.Job{ID: id, Tenant: -1, ClientTimeout: 10 * time.Second, Slots: 1})
	}
	b.AttemptDone(300*time.Millisecond, balance.AttemptResult{Job: 1, Worker: 7, Status: balance.StatusOK,
		Elapsed: 300 * time.Millisecond, JobDone: true, Report: balance.NoLoadReport()})
	// Output:
	// job 1 to worker 7
	// job 2 to worker 7
}
