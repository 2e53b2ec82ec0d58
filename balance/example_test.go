package balance_test

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
)

// printer carries out what a Balancer asks by printing it.
type printer struct{}

func (printer) Send(j balance.JobID, w balance.WorkerID, _ time.Duration) {
	fmt.Printf("job %d to worker %d\n", j, w)
}
func (printer) Cancel(j balance.JobID, attempt int) {
	fmt.Printf("cancel job %d attempt %d\n", j, attempt)
}
func (printer) Refuse(j balance.JobID, _ time.Duration) { fmt.Printf("refuse job %d\n", j) }
func (printer) Fail(j balance.JobID)                    { fmt.Printf("fail job %d\n", j) }
func (printer) Wake(time.Duration, uint64)              {} // a real host calls Timer with the token
func (printer) Watch()                                  {}
func (printer) Fetch()                                  {}
func (printer) Tell(int, []byte)                        {}
func (printer) Probe(balance.WorkerID)                  {}
func (printer) Log(text string)                         { fmt.Println(text) }

// One worker with one slot takes the first job; the second waits for its end.
func ExampleBalancer() {
	b, err := balance.New(balance.Settings{
		Fleet: 1, Kinds: 1, MaxAttempts: 3, Cancel: true, ConnectTimeout: 200 * time.Millisecond,
		Classes: []balance.Class{{Name: "resize", Aim: time.Second, Stretch: 2, Deadline: 10 * time.Second,
			Worth: 1, Effect: balance.Safe, Kind: -1}},
	}, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Members(0, balance.ListFull, []balance.Member{{ID: 7, Weight: 1}})
	for id := balance.JobID(1); id <= 2; id++ {
		b.Request(0, balance.Job{ID: id, Tenant: -1, Patience: 10 * time.Second, Slots: 1})
	}
	b.Outcome(300*time.Millisecond, balance.Result{Job: 1, Worker: 7, Status: balance.StatusOK,
		Elapsed: 300 * time.Millisecond, Closed: true, Report: balance.NoReport()})
	// Output:
	// job 1 to worker 7
	// job 2 to worker 7
}
