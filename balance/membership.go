package balance

import (
	"slices"
	"time"
)

// This file holds the handling of membership updates.

// UpdateMembers applies a membership update.
func (b *Balancer) UpdateMembers(now time.Duration, kind UpdateKind, list []Member) {
	b.now = now
	if kind == UpdateFailed { // keep the last list, so that an outage of discovery does not empty the fleet
		delay := max(firstMembersRetry, min(2*b.membersRetryDelay, b.maxMembersRetry()))
		b.membersRetryDelay = delay
		// Random jitter, or dispatchers that failed together would also retry together and overload
		// a discovery service that is already rejecting requests.
		b.nextMembersRequest = now + delay/2 + time.Duration(b.rng.Int64N(int64(delay/2)))
		b.schedule()
		return
	}
	b.firstUpdateAt = min(b.firstUpdateAt, now)
	if kind != UpdateDelta { // a worker that is not listed is gone
		for _, w := range b.workers {
			w.State = Gone
		}
	}
	for _, m := range list {
		b.updateMember(m)
	}
	b.removeGoneWorkers()
	b.largeFleet = b.settings.FleetSize > maxSmallFleet
	if kind == UpdateCached && b.settings.PullMembers {
		b.requestMembers()
		if b.settings.AllowPeerMessages && !b.largeFleet {
			b.host.SendToPeer(AllPeers, []byte{helloMessage})
		}
	} else {
		b.membersRetryDelay, b.nextMembersRequest = 0, 0
	}
	b.schedule()
}

// requestMembers subscribes to the membership list.
func (b *Balancer) requestMembers() {
	b.host.Watch()
	b.membersRequestedAt = b.now
	b.nextMembersRequest = b.now + 4*time.Second // in case no answer comes, not even a failure
}

// maxMembersRetry returns the longest delay between failed requests for the membership list. A change
// counts as known to a dispatcher once discovery has had it for 6 s while reachable, so the delay must
// leave time for a request that is in flight when discovery recovers and for the next one. The delay
// grows with the size of the fleet, since the requests of a large fleet could keep an overloaded
// discovery service overloaded.
func (b *Balancer) maxMembersRetry() time.Duration {
	delay := min(max(time.Second, time.Duration(b.settings.FleetSize)*40*time.Millisecond), 4*time.Second)
	if b.settings.PullInterval > 0 {
		return min(delay, b.settings.PullInterval/2)
	}
	return delay
}

// updateMember adds or updates a listed worker. An unknown kind counts as one further kind.
func (b *Balancer) updateMember(m Member) {
	if m.Kind < 0 || m.Kind >= b.settings.WorkerKinds {
		m.Kind = b.settings.WorkerKinds
	}
	w := b.byID[m.ID]
	if w == nil {
		w = &worker{
			peerSlotBytes: make([]byte, b.settings.FleetSize),
			startLag:      b.settings.ConnectTimeout.Seconds() / 4,
		}
		b.byID[m.ID] = w
		b.workers = append(b.workers, w)
	} else if m.StartedAt != w.StartedAt {
		// A restarted worker may be a different machine: its old health, speed and size would
		// be misleading.
		w.slots, w.otherSlots, w.reportCount = 0, 0, 0
		w.logSlownessSum, w.logSlownessWeight = 0, 0
		w.errorRate, w.timesHeld, w.heldUntil = 0, 0, 0
	}
	w.Member, w.group = m, b.groupOf(&m)
	if m.StartedAt > 0 {
		b.coldUntil = max(b.coldUntil, m.StartedAt+b.settings.WarmUp)
	}
}

// removeGoneWorkers removes workers that have been gone for a minute and have no attempts of this
// dispatcher. A worker that returns earlier keeps its state: its zone, its start lag and the slots of peers.
func (b *Balancer) removeGoneWorkers() {
	b.workers = slices.DeleteFunc(b.workers, func(w *worker) bool {
		if w.State != Gone {
			w.lastListed = b.now
		}
		if b.now-w.lastListed < time.Minute || w.usedSlots > 0 || w.dirty {
			return false
		}
		delete(b.byID, w.ID)
		return true
	})
}
