package balance

import "time"

// This file is the messages between dispatchers: what each holds at each worker.

const (
	fullMessage = iota
	changeMessage
	helloMessage
	askMessage  // for a sign of room
	slotMessage // a sign of room
	entryLen    = 5
)

func (b *Balancer) mark(w *worker) {
	if b.s.AllowPeerMessages && !w.dirty {
		w.dirty = true
		b.dirty = append(b.dirty, w)
	}
}

// held is what this dispatcher has at a worker in one byte: slots in work in the
// low half, attempts that wait in the high half.
func (w *worker) holds() byte { return byte(min(w.running, 15)) | byte(min(w.waiting, 15))<<4 }

// setPeer notes what a peer holds at a worker.
func (w *worker) setPeer(from int, held byte) {
	w.peers[from] = held
	w.peerRunning, w.peerHeld = 0, 0
	for _, h := range w.peers {
		w.peerRunning += float64(h & 15)
		w.peerHeld += float64(h&15 + h>>4)
	}
}

// tellPeers sends what changed in the slots held here, so that dispatchers do not
// all take the same worker for idle. A message is five bytes a worker.
func (b *Balancer) tellPeers() {
	if !b.s.AllowPeerMessages || b.largeFleet || (len(b.dirty) == 0 || b.now < b.tellAt) && b.now < b.heartbeatAt {
		return
	}
	// A message is paid for at each peer: with many of them changes gather.
	b.tellAt = b.now + time.Duration(max(0, b.s.FleetSize-4))*b.s.Tick
	kind := byte(changeMessage)
	if b.now >= b.heartbeatAt {
		b.heartbeatAt = b.now + heartbeatInterval
		kind = fullMessage
		b.dirty = append(b.dirty[:0], b.workers...)
		b.forgetSilent()
	}
	data := append(b.message[:0], kind)
	for _, w := range b.dirty {
		w.dirty = false
		held := w.holds()
		if kind == changeMessage && held == w.told || kind == fullMessage && held == 0 {
			continue
		}
		w.told = held
		if len(data)+entryLen > 256 {
			b.host.SendToPeer(AllPeers, data)
			data = append(data[:0], changeMessage)
		}
		data = append(data, byte(w.ID>>24), byte(w.ID>>16), byte(w.ID>>8), byte(w.ID), held)
	}
	b.dirty, b.message = b.dirty[:0], data
	if len(data) > 1 || kind == fullMessage && b.telling {
		b.host.SendToPeer(AllPeers, data)
	}
	b.telling = len(data) > 1
}

// forgetSilent drops what peers not heard of for three beats were said to hold: a
// dead dispatcher holds nothing.
func (b *Balancer) forgetSilent() {
	for i, seen := range b.peerSeen {
		if seen > 0 && b.now-seen > 3*heartbeatInterval {
			b.peerSeen[i] = 0
			for _, w := range b.workers {
				w.setPeer(i, 0)
			}
		}
	}
}

// PeerMessage takes a message from another dispatcher. A malformed one is dropped.
func (b *Balancer) PeerMessage(now time.Duration, from int, data []byte) {
	b.now = now
	if from < 0 || from >= b.s.FleetSize || len(data) == 0 || len(data)%entryLen != 1 || data[0] == slotMessage && len(data) < entryLen {
		return
	}
	b.peerSeen[from] = now
	switch data[0] {
	case askMessage:
		b.grantSlot(from)
		return
	case slotMessage:
		id := WorkerID(data[1])<<24 | WorkerID(data[2])<<16 | WorkerID(data[3])<<8 | WorkerID(data[4])
		if w := b.byID[id]; w != nil && b.largeFleet {
			b.freed(w, signGranted)
			b.schedule()
		}
		return
	}
	if data[0] != changeMessage {
		for _, w := range b.workers {
			if w.peers[from] != 0 {
				w.setPeer(from, 0)
			}
		}
	}
	if data[0] == helloMessage {
		b.heartbeatAt = min(b.heartbeatAt, now)
	}
	for data = data[1:]; len(data) >= entryLen; data = data[entryLen:] {
		id := WorkerID(data[0])<<24 | WorkerID(data[1])<<16 | WorkerID(data[2])<<8 | WorkerID(data[3])
		if w := b.byID[id]; w != nil {
			w.setPeer(from, data[4])
		}
	}
	if len(b.queue)+len(b.starting) > 0 || b.heartbeatAt <= now {
		b.schedule()
	}
}
