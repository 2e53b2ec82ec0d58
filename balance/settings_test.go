package balance

import "testing"

func TestInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"Classes":     func(s *Settings) { s.Classes = nil },
		"FleetSize":   func(s *Settings) { s.FleetSize = 0 },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"Deadline":    func(s *Settings) { s.Classes[0].Deadline = -1 },
		"Idempotency": func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"WarmUp":      func(s *Settings) { s.WarmUp = -1 },
	} {
		s := settings()
		invalidate(&s)
		if _, err := New(s, newRecorder()); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
