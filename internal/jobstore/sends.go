package jobstore

// NumberSend returns the send with its number, which follows that of the latest one.
func (state *State) NumberSend(send Send) Send {
	send.Attempt = state.Sends + 1
	return send
}

// AddSend records a numbered send that is about to be made.
func (state *State) AddSend(send Send) {
	state.Sends = max(state.Sends, send.Attempt)
	if state.FirstSend == nil {
		state.FirstSend = &send
	}
	state.LastSend = &send
}

// RetractSend removes the record of a send that provably did not run, and reports whether FirstSend has
// changed. The send is compared by its value: the record of any other send stays, even if it is the latest. If
// others were recorded after it, it stays too, since FirstSend must not be later than the earliest send that may
// have run.
func (state *State) RetractSend(send Send) bool {
	only := state.FirstSend != nil && *state.FirstSend == send && state.LastSend != nil && *state.LastSend == send
	if only {
		state.FirstSend, state.LastSend = nil, nil
	}
	return only
}

// restoreFirstSend sets FirstSend in a state that a program wrote which could lose it: when an attempt could
// not connect, it removed the record of the attempt before, which may have run, and kept LastSend. RetractSend
// removes both, so LastSend alone identifies such a state. A send that was rightly retracted cannot be told from
// one that was not, so it counts as one that may have run.
func (state *State) restoreFirstSend() {
	if state.FirstSend == nil {
		state.FirstSend = state.LastSend
	}
}
