package loomstandin

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// FreeAddresses takes ports below the ephemeral port range, so that no outgoing connection takes a port between its
// choice and its use.
const (
	firstPort = 20000
	portCount = 12000
)

var ports struct {
	mu   sync.Mutex
	next int
}

// FreeAddresses returns n loopback addresses that nothing listens at. A process starts at a random port and uses each
// port once, so that tests of several packages rarely choose the same port.
func FreeAddresses(n int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = 1 + rand.IntN(portCount)
	}
	var addresses []string
	var failure error
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+ports.next%portCount))
		ports.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			failure = err
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	return nil, failure
}
