//go:build !linux

package link

// reusePort does nothing where the system has no SO_REUSEPORT of Linux's kind: an upgrade there
// finds the address taken.
func reusePort(uintptr) error { return nil }
