package dispatch

import (
	"sync"

	"tinroute.example/tinroute/balance"
)

// ServingSet is the set of workers that accept new requests according to the last membership list.
// A driver checks it just before it writes the first byte of an attempt, since the list may have
// changed while the attempt waited for a connection. The zero value is an empty set. A ServingSet is
// safe for concurrent use.
type ServingSet struct {
	mu      sync.Mutex
	serving map[balance.WorkerID]bool
}

// Set replaces the set by the serving workers of members.
func (s *ServingSet) Set(members []Worker) {
	serving := make(map[balance.WorkerID]bool, len(members))
	for _, m := range members {
		if m.State == balance.Serving {
			serving[m.ID] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = serving
}

// Accepts reports whether the worker accepts new requests.
func (s *ServingSet) Accepts(id balance.WorkerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving[id]
}
