package cli

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
)

// repeatRule describes whether a class allows another attempt after one that may have run.
func repeatRule(idempotency balance.Idempotency, scope balance.DedupScope, window time.Duration) string {
	switch idempotency {
	case balance.Idempotent:
		return "safe to repeat"
	case balance.NonIdempotent:
		return "never repeated once it may have run"
	}
	return fmt.Sprintf("repeated within %v, %s", window, [...]string{"anywhere", "in the same zone", "in the same cell"}[scope])
}
