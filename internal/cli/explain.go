package cli

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
)

// repeats words what a class allows after a routed task that may have run.
func repeats(e balance.Idempotency, g balance.DedupScope, span time.Duration) string {
	switch e {
	case balance.Idempotent:
		return "safe to repeat"
	case balance.NonIdempotent:
		return "never repeated once it may have run"
	}
	return fmt.Sprintf("repeated within %v, %s", span, [...]string{"anywhere", "in the same zone", "in the same cell"}[g])
}
