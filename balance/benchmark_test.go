package balance

import (
	"testing"
	"time"
)

func BenchmarkRequest(b *testing.B) {
	s := settings()
	bal, err := New(s, nullHost{})
	if err != nil {
		b.Fatal(err)
	}
	var list []Member
	for i := range 16 {
		list = append(list, Member{ID: WorkerID(i), Weight: 1})
	}
	bal.UpdateMembers(0, UpdateFull, list)
	b.ReportAllocs()
	for i := range b.N {
		runRequest(bal, time.Duration(i)*100*ms, JobID(i))
	}
}

// runRequest submits a job, starts its attempt and ends it.
func runRequest(bal *Balancer, now time.Duration, id JobID) {
	bal.SubmitJob(now, Job{ID: id, Tenant: -1, ClientTimeout: 8 * time.Second, Slots: 1})
	bal.AttemptEvent(now+ms, id, 0, EventStarted, 0)
	bal.AttemptDone(now+50*ms, AttemptResult{Job: id, Status: StatusOK, JobDone: true, Report: NoLoadReport()})
}

// A request may allocate only its job, its attempt and their entries in slices and maps.
func TestRequestAllocations(t *testing.T) {
	bal, err := New(settings(), nullHost{})
	if err != nil {
		t.Fatal(err)
	}
	bal.UpdateMembers(0, UpdateFull, []Member{{ID: 0, Weight: 1}})
	i := 0
	n := testing.AllocsPerRun(500, func() {
		i++
		runRequest(bal, time.Duration(i)*100*ms, JobID(i))
	})
	if n > 8 {
		t.Errorf("%v allocations per request", n)
	}
}

// nullHost is a Host that does nothing.
type nullHost struct{}

func (nullHost) Send(JobID, WorkerID, time.Duration) {}
func (nullHost) Cancel(JobID, int)                   {}
func (nullHost) Refuse(JobID, time.Duration)         {}
func (nullHost) Fail(JobID)                          {}
func (nullHost) SetTimer(time.Duration, uint64)      {}
func (nullHost) Watch()                              {}
func (nullHost) Fetch()                              {}
func (nullHost) SendToPeer(int, []byte)              {}
func (nullHost) Probe(WorkerID)                      {}
func (nullHost) Log(string)                          {}
