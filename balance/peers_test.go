package balance

import (
	"testing"
	"time"
)

// peerSettings returns settings of a small fleet whose dispatchers send each other messages.
func peerSettings() Settings {
	s := settings()
	s.AllowPeerMessages, s.FleetSize = true, 3
	return s
}

// slotUpdate returns a message of a peer about the slots that it uses at a worker.
func slotUpdate(id byte, running, waiting byte) []byte {
	return []byte{changeMessage, 0, 0, 0, id, running | waiting<<4}
}

// Slots that peers use are not free, and the jobs that they have waiting do not count as slots.
func TestPeerSlotsAreNotFree(t *testing.T) {
	b, r := fixture(t, peerSettings(), 2)
	b.PeerMessage(time.Second, 1, slotUpdate(1, 1, 0))
	submit(b, time.Second, 1, idempotent)
	if r.lastSend().to != 2 {
		t.Fatalf("sent to the worker whose slot a peer uses: %v", r.sends)
	}
	b.PeerMessage(time.Second, 1, slotUpdate(2, 0, 5))
	reportStart(b, 1005*ms, r.lastSend())
	if got := b.byID[2].slots; got != 1 {
		t.Fatalf("a worker with five waiting jobs is estimated at %v slots", got)
	}
}

func TestSilentPeerSlotsAreCleared(t *testing.T) {
	b, r := fixture(t, peerSettings(), 1)
	b.PeerMessage(time.Second, 1, slotUpdate(1, 1, 0))
	submit(b, time.Second, 1, idempotent)
	advance(b, r, time.Second, time.Second+4*heartbeatInterval)
	submit(b, time.Second+4*heartbeatInterval, 2, idempotent)
	if b.byID[1].peerSlots != 0 {
		t.Fatal("a silent peer still uses a slot")
	}
}

func TestHelloClearsPeerSlots(t *testing.T) {
	b, _ := fixture(t, peerSettings(), 1)
	b.PeerMessage(time.Second, 1, slotUpdate(1, 1, 0))
	b.PeerMessage(time.Second, 1, []byte{helloMessage})
	if b.byID[1].peerSlots != 0 {
		t.Fatal("a restarted peer still uses a slot")
	}
}

// A dispatcher that only has one long job still sends heartbeats.
func TestHeartbeatsDuringLongJob(t *testing.T) {
	b, r := fixture(t, peerSettings(), 1)
	submit(b, time.Second, 1, idempotent)
	reportStart(b, 1004*ms, r.lastSend())
	before, at := len(r.messages), 1004*ms
	for at < 6*time.Second {
		at += max(r.timer, ms)
		b.TimerFired(at, r.token)
	}
	if len(r.messages) < before+2 {
		t.Fatalf("%d messages in five seconds", len(r.messages)-before)
	}
}
