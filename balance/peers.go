package balance

import "time"

// This file holds the messages between dispatchers about the slots that each uses at each worker.

const (
	fullMessage   = iota // all workers at which the sender uses slots
	changeMessage        // the workers at which that has changed
	helloMessage         // the sender has restarted and requests full messages
	askMessage           // requests the ID of a worker with a free slot
	slotMessage          // names a worker with a free slot
	maxMessage    = 256  // bytes; see Host.SendToPeer
	entrySize     = 5    // bytes per worker: its ID and the slot byte; see worker.slotByte
)

// markDirty records that the slots that this dispatcher uses at a worker may have changed.
func (b *Balancer) markDirty(w *worker) {
	if b.settings.AllowPeerMessages && !w.dirty {
		w.dirty = true
		b.dirtyWorkers = append(b.dirtyWorkers, w)
	}
}

// slotByte encodes what this dispatcher has at a worker in one byte: running slots in the low four bits and
// attempts that have not started in the high four bits, each limited to 15.
func (w *worker) slotByte() byte {
	return byte(min(w.runningSlots, 15)) | byte(min(w.notStarted, 15))<<4
}

// setPeerSlots records the slots that a peer uses at a worker, encoded as by slotByte.
func (w *worker) setPeerSlots(from int, slots byte) {
	w.peerSlotBytes[from] = slots
	w.peerRunningSlots, w.peerSlots = 0, 0
	for _, slots := range w.peerSlotBytes {
		w.peerRunningSlots += float64(slots & 15)
		w.peerSlots += float64(slots&15 + slots>>4)
	}
}

// sendPeerUpdates reports to the other dispatchers which slots this one uses, so that they do not all
// consider the same worker idle. Between heartbeats it sends only the changes.
func (b *Balancer) sendPeerUpdates() {
	if !b.settings.AllowPeerMessages || b.largeFleet {
		return
	}
	updateDue := len(b.dirtyWorkers) > 0 && b.now >= b.nextPeerUpdate
	if !updateDue && b.now < b.nextHeartbeat {
		return
	}
	// Each peer has to process each message, so with more peers more changes go into one message.
	b.nextPeerUpdate = b.now + time.Duration(max(0, b.settings.FleetSize-4))*b.settings.Tick
	kind := byte(changeMessage)
	if b.now >= b.nextHeartbeat {
		b.nextHeartbeat = b.now + heartbeatInterval
		kind = fullMessage
		b.dirtyWorkers = append(b.dirtyWorkers[:0], b.workers...)
		b.clearSilentPeers()
	}
	data := append(b.messageBuffer[:0], kind)
	for _, w := range b.dirtyWorkers {
		w.dirty = false
		slots := w.slotByte()
		if kind == changeMessage && slots == w.sentSlotByte || kind == fullMessage && slots == 0 {
			continue
		}
		w.sentSlotByte = slots
		if len(data)+entrySize > maxMessage {
			b.host.SendToPeer(AllPeers, data)
			data = append(data[:0], changeMessage)
		}
		data = append(data, byte(w.ID>>24), byte(w.ID>>16), byte(w.ID>>8), byte(w.ID), slots)
	}
	b.dirtyWorkers, b.messageBuffer = b.dirtyWorkers[:0], data
	if len(data) > 1 || kind == fullMessage && b.lastUpdateNonEmpty {
		b.host.SendToPeer(AllPeers, data)
	}
	b.lastUpdateNonEmpty = len(data) > 1
}

// clearSilentPeers clears the slots of peers that sent nothing for three heartbeats: they have probably
// ended and use no slots.
func (b *Balancer) clearSilentPeers() {
	for peer, seen := range b.peerSeenAt {
		if seen > 0 && b.now-seen > 3*heartbeatInterval {
			b.peerSeenAt[peer] = 0
			for _, w := range b.workers {
				w.setPeerSlots(peer, 0)
			}
		}
	}
}

// PeerMessage handles a message from another dispatcher. It drops a malformed one.
func (b *Balancer) PeerMessage(now time.Duration, from int, data []byte) {
	b.now = now
	if from < 0 || from >= b.settings.FleetSize || len(data) == 0 || len(data)%entrySize != 1 {
		return
	}
	if data[0] == slotMessage && len(data) < entrySize {
		return
	}
	b.peerSeenAt[from] = now
	switch data[0] {
	case askMessage:
		b.grantSlot(from)
		return
	case slotMessage:
		id := WorkerID(data[1])<<24 | WorkerID(data[2])<<16 | WorkerID(data[3])<<8 | WorkerID(data[4])
		if w := b.byID[id]; w != nil && b.largeFleet {
			b.addEvidence(w, evidenceGranted)
			b.schedule()
		}
		return
	}
	if data[0] != changeMessage { // the message replaces all that the peer has sent
		for _, w := range b.workers {
			if w.peerSlotBytes[from] != 0 {
				w.setPeerSlots(from, 0)
			}
		}
	}
	if data[0] == helloMessage {
		b.nextHeartbeat = min(b.nextHeartbeat, now)
	}
	for data = data[1:]; len(data) >= entrySize; data = data[entrySize:] {
		id := WorkerID(data[0])<<24 | WorkerID(data[1])<<16 | WorkerID(data[2])<<8 | WorkerID(data[3])
		if w := b.byID[id]; w != nil {
			w.setPeerSlots(from, data[4])
		}
	}
	if len(b.queue)+len(b.starting) > 0 || b.nextHeartbeat <= now {
		b.schedule()
	}
}
