package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// freePorts are loopback addresses that nothing listens at, below the ports that the system gives to
// those that ask for any: a process that is down keeps its address.
func freePorts(n int) (addrs []string, err error) {
	ports.Lock()
	defer ports.Unlock()
	for ; len(addrs) < n; ports.next++ {
		if ports.next >= 30_000 {
			return nil, errors.New("rig: no ports left")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			addrs = append(addrs, addr)
		}
	}
	return addrs, nil
}

var ports = struct {
	sync.Mutex
	next int
}{next: 10_000 + os.Getpid()%8*1000}
