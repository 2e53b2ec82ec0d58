package gearman

import (
	"sync"
	"time"

	"tinroute.example/tinroute/internal/link"
)

const (
	// maxBacklogBytes is the backlog from which nothing more is read from a client.
	maxBacklogBytes = 64 << 10
	// maxStatusBacklogBytes is the backlog from which a client gets no WORK_STATUS.
	maxStatusBacklogBytes = maxBacklogBytes / 4
	// messageOverheadBytes is added to the size of each message, for the memory that it uses beside its data.
	messageOverheadBytes = 256
	// peerCloseCheckInterval is how often a connection that is not being read is checked for a close by the client.
	peerCloseCheckInterval = 40 * time.Millisecond
)

// outboxItem is an encoded message that waits to be written to a client.
type outboxItem struct {
	data      []byte
	final     bool                // a job's final answer; the job counts as in flight on the connection until it is written
	onWritten func(complete bool) // called after the write, if set; complete reports whether it succeeded
}

func (item outboxItem) size() int { return len(item.data) + messageOverheadBytes }

// outbox holds the messages that wait to be written to one client. Its backlog is their size, together with that of
// the submissions whose answer is still to come. put never blocks: the backlog is limited by reading nothing more
// from a client whose backlog is full, so a client gets all its answers at the pace at which it reads them.
type outbox struct {
	mu      sync.Mutex
	queue   []outboxItem
	backlog int           // bytes
	closed  bool          // nothing more is written
	queued  chan struct{} // signals that an item was queued
	shrunk  chan struct{} // signals that the backlog is smaller
}

func newOutbox() *outbox {
	return &outbox{queued: make(chan struct{}, 1), shrunk: make(chan struct{}, 1)}
}

// signal sends on a channel with room for one value, unless one is waiting in it.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put queues an item. After close it reports the item as not written.
func (o *outbox) put(item outboxItem) {
	o.mu.Lock()
	closed := o.closed
	if !closed {
		o.queue = append(o.queue, item)
		o.backlog += item.size()
	}
	o.mu.Unlock()
	if !closed {
		signal(o.queued)
	} else if item.onWritten != nil {
		item.onWritten(false)
	}
}

// take removes the first item. It stays part of the backlog until release is called with its size.
func (o *outbox) take() (item outboxItem, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return outboxItem{}, false
	}
	item, o.queue[0] = o.queue[0], outboxItem{}
	if o.queue = o.queue[1:]; len(o.queue) == 0 {
		o.queue = nil
	}
	return item, true
}

// reserve adds a submission whose answer is still to come to the backlog.
func (o *outbox) reserve(bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.backlog += bytes
}

// release removes bytes from the backlog.
func (o *outbox) release(bytes int) {
	o.mu.Lock()
	o.backlog -= bytes
	o.mu.Unlock()
	signal(o.shrunk)
}

func (o *outbox) backlogBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.backlog
}

// close reports all queued items, and all that are put later, as not written.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	unwritten := o.queue
	o.queue = nil
	o.mu.Unlock()
	for _, item := range unwritten {
		if item.onWritten != nil {
			item.onWritten(false)
		}
	}
}

// waitForRoom blocks while the client's backlog is full. It returns false if the connection ends first. As nothing is
// read meanwhile, a close by the client may be hidden behind unread bytes and is polled for.
func (c *client) waitForRoom() bool {
	if c.outbox.backlogBytes() < maxBacklogBytes {
		return true
	}
	ticker := time.NewTicker(peerCloseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.outbox.shrunk:
			if c.outbox.backlogBytes() < maxBacklogBytes {
				return true
			}
		case <-c.writerDone:
			return false
		case <-ticker.C:
			if link.PeerClosed(c.Conn) {
				return false
			}
		}
	}
}

// writeLoop writes messages from the outbox. When the reader is done it writes what is left, and returns.
func (c *client) writeLoop() {
	defer close(c.writerDone)
	defer c.outbox.close()
	for {
		item, ok := c.outbox.take()
		if !ok {
			select {
			case <-c.outbox.queued:
				continue
			case <-c.readerDone:
			}
			if item, ok = c.outbox.take(); !ok {
				return
			}
		}
		if !c.writeItem(item) {
			_ = c.Close()
			return
		}
	}
}

func (c *client) writeItem(item outboxItem) bool {
	_, err := link.WriteWithTimeout(c.Conn, item.data)
	if link.IsTimeout(err) {
		c.limitedLog.Report("client does not read its answers; closing its connection", c.RemoteAddr(), "write timeout")
	}
	if item.final {
		c.AddInFlight(-1)
	}
	if item.onWritten != nil {
		item.onWritten(err == nil)
	}
	c.outbox.release(item.size())
	return err == nil
}

// send queues an encoded message for the client without blocking.
func (c *client) send(data []byte) { c.outbox.put(outboxItem{data: data}) }
