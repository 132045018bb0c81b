// Package loopback gives test cells addresses of their own on this machine.
//
// A cell that listens on 127.0.0.1 shares its ports with every other program
// there: a port that was free a moment ago may be taken when a node listens.
// Each cell, or each of its nodes, therefore takes an address of 127.0.0.0/8:
//
//	at := netip.AddrPortFrom(loopback.New(), 8080)
package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// octets is how many values one byte of an address takes: 1 to 250, which
// leaves out 0 and 255.
const octets = 250

// given counts the addresses of this process.
var given atomic.Uint32

// New returns an address that differs from the last 249 of this process, from
// those of processes whose ids are less than 62,500 apart, and from 127.0.0.1,
// where outgoing connections start.
func New() netip.Addr {
	return of(os.Getpid(), given.Add(1))
}

func of(process int, number uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + process/octets%octets), byte(1 + process%octets), byte(1 + number%octets)})
}
