package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// freeAddrs returns loopback addresses on which nothing listens. Their ports are below the range from which the system
// assigns ephemeral ports, so that nothing else takes the address of a process while the process is down.
func freeAddrs(n int) (addrs []string, err error) {
	portCursor.Lock()
	defer portCursor.Unlock()
	for ; len(addrs) < n; portCursor.next++ {
		if portCursor.next >= 30_000 {
			return nil, errors.New("rig: no free ports left")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", portCursor.next)
		if listener, err := net.Listen("tcp", addr); err == nil {
			_ = listener.Close()
			addrs = append(addrs, addr)
		}
	}
	return addrs, nil
}

// portCursor holds the next port to try. Each test process starts in one of eight ranges of 1000 ports.
var portCursor = struct {
	sync.Mutex
	next int
}{next: 10_000 + os.Getpid()%8*1000}
