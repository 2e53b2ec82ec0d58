package balance

import (
	"testing"
	"time"
)

func TestRetryAfterFailureDependsOnIdempotency(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		status Status
		retry  bool
		answer string
	}{
		{"idempotent error", idempotent, StatusError, true, ""},
		{"deduplicated error", dedupCell, StatusError, true, ""},
		{"non-idempotent error", nonIdempotent, StatusError, false, "failed"},
		{"non-idempotent reset", nonIdempotent, StatusReset, false, "failed"},
		{"non-idempotent cancelled", nonIdempotent, StatusCancelled, false, "failed"},
		{"non-idempotent full", nonIdempotent, StatusFull, true, ""},
		{"non-idempotent unreachable", nonIdempotent, StatusUnreachable, true, ""},
		{"non-idempotent not sent", nonIdempotent, StatusNotSent, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := fixture(t, settings(), 8)
			submit(b, time.Second, 1, c.class)
			first := r.lastSend()
			reportResult(b, 1010*ms, first, c.status)
			if retried := r.attemptsOf(1) == 2; retried != c.retry || r.answers[1] != c.answer {
				t.Fatalf("sent %d times, answer %q", r.attemptsOf(1), r.answers[1])
			}
			if c.class == dedupCell && (r.lastSend().to-1)/2 != (first.to-1)/2 {
				t.Fatalf("deduplicated job left its cell: %v", r.sends)
			}
		})
	}
}

func TestNoRetryAfterDedupWindow(t *testing.T) {
	s := settings()
	s.Classes[dedupCell].Target = 20 * time.Second // so that it is not refused as too late
	b, r := fixture(t, s, 8)
	submit(b, time.Second, 1, dedupCell)
	reportResult(b, 1*time.Second+5*time.Second, r.lastSend(), StatusReset)
	if r.attemptsOf(1) != 1 || r.answers[1] != "failed" {
		t.Fatalf("after its dedup window: sent %d times, answer %q", r.attemptsOf(1), r.answers[1])
	}
}

func TestAttemptsAreLimited(t *testing.T) {
	b, r := fixture(t, settings(), 8)
	submit(b, time.Second, 1, idempotent)
	for i := range 4 {
		if r.attemptsOf(1) != i+1 {
			t.Fatalf("attempt %d missing", i)
		}
		reportResult(b, time.Second+time.Duration(i+1)*ms, r.lastSend(), StatusReset)
	}
	if r.attemptsOf(1) != 4 || r.answers[1] != "refused" {
		t.Fatalf("sent %d times, answer %q", r.attemptsOf(1), r.answers[1])
	}
}

// Attempts without a connection do not count as attempts, but their number is limited too.
func TestUnreachableAttemptsAreLimited(t *testing.T) {
	b, r := fixture(t, settings(), 20)
	submit(b, 10*time.Second, 1, idempotent)
	for i := 0; i < 30 && len(r.sends) > i; i++ {
		reportResult(b, 10*time.Second+time.Duration(i)*ms, r.sends[i], StatusUnreachable)
	}
	if got := r.attemptsOf(1); got != 3*4 {
		t.Fatalf("%d attempts without a connection, want 12 for a limit of 4 attempts", got)
	}
	if r.answers[1] != "refused" {
		t.Fatalf("answer %q", r.answers[1])
	}
}

// An attempt in flight may still have its effect, and a refusal would tell the client that a repeat is
// harmless.
func TestNoRefusalWhileNonIdempotentAttemptIsInFlight(t *testing.T) {
	for class, want := range map[int]string{nonIdempotent: "failed", dedupCell: "failed", dedupFleet: "refused", idempotent: "refused"} {
		b, r := fixture(t, settings(), 2)
		submit(b, time.Second, 1, class)
		b.answerUnserved(b.jobs[1])
		if r.answers[1] != want {
			t.Errorf("class %d: %q", class, r.answers[1])
		}
	}
}
