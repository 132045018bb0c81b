// Package loopback gives each test cell its own loopback addresses.
//
// Ports of 127.0.0.1 are shared with every other program on the machine: a port
// that was found free may be in use by the time a node listens on it. Each
// cell, or each of its nodes, therefore listens on its own address in
// 127.0.0.0/8.
//
// # Usage
//
//	address := netip.AddrPortFrom(loopback.New(), 8080)
package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// octetValues is the number of values that one byte of an address takes: 1 to
// 250, which excludes 0 and 255.
const octetValues = 250

// issued is the number of addresses that this process has issued.
var issued atomic.Uint32

// New returns an address that differs from the previous 249 addresses of this
// process, from the addresses of all processes whose ids differ by less than
// 62,500, and from 127.0.0.1, the source address of outgoing connections.
func New() netip.Addr {
	return addressFor(os.Getpid(), issued.Add(1))
}

// addressFor encodes the process id in the second and third byte of the address
// and the sequence number in the fourth.
func addressFor(processID int, sequence uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + processID/octetValues%octetValues), byte(1 + processID%octetValues), byte(1 + sequence%octetValues)})
}
