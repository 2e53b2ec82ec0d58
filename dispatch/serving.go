package dispatch

import (
	"sync"

	"tinroute.example/tinroute/balance"
)

// ServingSet is the workers that take new requests by the last membership list. A driver asks it
// just before an attempt's first byte, since the list may have changed while the attempt waited for
// its connection. The zero value accepts none. It is safe for concurrent use.
type ServingSet struct {
	mu      sync.Mutex
	serving map[balance.WorkerID]bool
}

// Set takes the members of a new list.
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

// Accepts tells whether a worker takes new requests.
func (s *ServingSet) Accepts(id balance.WorkerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving[id]
}
