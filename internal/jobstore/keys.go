package jobstore

func encodeUint64(n uint64) []byte { return byteOrder.AppendUint64(nil, n) }

// The due index has separate queues for due times that a client set and for all others. The former
// are compared with the current system clock, the latter with the clock of the process.
const (
	queueProcessClock = 0
	queueClientTime   = 1
)

// dueIndexKey returns a job's key in the due index: queue, due time and ID.
func dueIndexKey(state *State) []byte {
	key := make([]byte, 0, 17)
	key = append(key, map[bool]byte{false: queueProcessClock, true: queueClientTime}[state.DueSetByClient])
	return byteOrder.AppendUint64(byteOrder.AppendUint64(key, uint64(max(0, state.Due))), state.ID)
}

// encodeIndexEntry returns a job's value in the due and dead indexes: data size and function.
func encodeIndexEntry(job *Job) []byte {
	e := &encoder{}
	e.uvarint(uint64(len(job.Data)))
	e.buf = append(e.buf, job.Function...)
	return e.buf
}

func decodeIndexEntry(entry []byte) (size int64, function string) {
	d := &decoder{buf: entry}
	size = int64(d.uvarint())
	return size, string(d.buf)
}

func uniqueIndexKey(function, uniqueID string) []byte { return []byte(function + "\x00" + uniqueID) }
