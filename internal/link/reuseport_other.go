//go:build !linux

package link

// reusePort does nothing on a system without Linux's SO_REUSEPORT. An upgrade there fails because
// the address is in use.
func reusePort(uintptr) error { return nil }
