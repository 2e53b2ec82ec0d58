package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A leader that is closed transfers its leadership, so that the others need not wait for an election timeout.
func TestLeaderTransfersLeadershipOnClose(t *testing.T) {
	c := newCluster(t, 3)
	for name := range c.addrs {
		c.start(name, true)
	}
	newTerms := 0 // how often another voter had started a new term when Close returned; a busy machine may miss some
	for range 4 {
		old := c.leader()
		term := c.running[old].raft.CurrentTerm()
		closedAt := time.Now()
		c.stop(old)
		for _, other := range c.running {
			if other.raft.CurrentTerm() > term {
				newTerms++
			}
		}
		c.leader()
		t.Logf("new leader after %v", time.Since(closedAt).Round(time.Millisecond))
		c.start(old, false)
	}
	require.Positive(t, newTerms)
	for name := range c.addrs {
		c.stop(name)
	}
}
