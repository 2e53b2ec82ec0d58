package jobstore

func u64(n uint64) []byte { return order.AppendUint64(nil, n) }

// The due index keeps jobs with an instant of the client's apart from the others: the one is
// compared with the system's clock as it reads now, the other with the process's.
const (
	queueOwn   = 0
	queueTimed = 1
)

func dueKey(st *State) []byte {
	k := make([]byte, 0, 17)
	k = append(k, map[bool]byte{false: queueOwn, true: queueTimed}[st.Timed])
	return order.AppendUint64(order.AppendUint64(k, uint64(max(0, st.Due))), st.ID)
}

func entry(j *Job) []byte {
	w := &writer{}
	w.uint(uint64(len(j.Data)))
	w.b = append(w.b, j.Function...)
	return w.b
}

func entryOf(v []byte) (size int64, function string) {
	r := &reader{b: v}
	size = int64(r.uint())
	return size, string(r.b)
}

func uniqueKey(function, unique string) []byte { return []byte(function + "\x00" + unique) }
