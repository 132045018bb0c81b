package soak_test

import (
	"bytes"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/soak"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

const (
	peerPort        = 7380
	leadershipTopic = "keyed.rights"
)

// network has a proxy for each way of a process: to the store, to each worker and, if the
// run isolates processes, to each other process. A process learns the addresses of its
// own proxies instead of the real ones, from the store and from other processes.
type network struct {
	store   []*soak.Proxy
	workers [][]*soak.Proxy // by process, by worker
	peers   [][]*soak.Proxy // by process, by the other process; nil without proxies
	real    []netip.AddrPort
}

func startProxy(t *testing.T, target string, rewrite func([]byte, bool) []byte) *soak.Proxy {
	proxy, err := soak.NewRewritingProxy(target, rewrite)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
}

// newNetwork returns the network of processes with these IP addresses. Connections to a
// process that isn't running are refused only without proxies between processes.
func newNetwork(t *testing.T, site *standin.Site, ips []netip.Addr, workerAddresses []string, peerProxies bool) *network {
	n := &network{}
	for _, ip := range ips {
		n.real = append(n.real, netip.AddrPortFrom(ip, peerPort))
	}
	for process := range ips {
		var workers, peers []*soak.Proxy
		for _, address := range workerAddresses {
			workers = append(workers, startProxy(t, address, nil))
		}
		n.workers = append(n.workers, workers)
		for other := range ips {
			if peerProxies {
				peers = append(peers, startProxy(t, n.real[other].String(), func(content []byte, isResponse bool) []byte {
					if isResponse {
						return n.translate(content, other, process)
					}
					return n.translate(content, process, other)
				}))
			}
		}
		n.peers = append(n.peers, peers)
		address, err := site.Serve(site.Store.View(func(topic, value string) string {
			switch topic {
			case platform.WorkerTopic:
				for i, address := range workerAddresses {
					value = strings.Replace(value, `"`+address+`"`, `"`+workers[i].Address()+`"`, 1)
				}
			case leadershipTopic:
				for other := range ips {
					value = strings.Replace(value, string(encodedAddress(n.real[other])), string(encodedAddress(n.addressFor(process, other))), 1)
				}
			}
			return value
		}))
		require.NoError(t, err)
		n.store = append(n.store, startProxy(t, address, nil))
	}
	return n
}

// addressFor returns the address at which a process reaches another one, or itself.
func (n *network) addressFor(process, other int) netip.AddrPort {
	if process == other || len(n.peers[process]) == 0 {
		return n.real[other]
	}
	return netip.MustParseAddrPort(n.peers[process][other].Address())
}

// translate replaces the addresses of processes that the sender of a message knows by
// those that the receiver knows.
func (n *network) translate(content []byte, sender, receiver int) []byte {
	for process := range n.real {
		content = bytes.ReplaceAll(content, encodedAddress(n.addressFor(sender, process)), encodedAddress(n.addressFor(receiver, process)))
	}
	return content
}

// encodedAddress returns an address as messages between processes and leadership records
// contain it: a CBOR byte string of 6 bytes.
func encodedAddress(address netip.AddrPort) []byte {
	content, err := address.MarshalBinary()
	if err != nil {
		panic(err) // never happens for an IPv4 address
	}
	return append([]byte{0x40 + byte(len(content))}, content...)
}

// setIsolated cuts a process off from the store and the other processes, or connects it.
func (n *network) setIsolated(process int, isolated bool) {
	n.store[process].SetCut(isolated)
	for other := range n.real {
		if other != process {
			n.peers[process][other].SetCut(isolated)
			n.peers[other][process].SetCut(isolated)
		}
	}
}

// setWorkerMode sets the mode of all ways to a worker.
func (n *network) setWorkerMode(worker int, mode soak.Mode) {
	for _, proxies := range n.workers {
		proxies[worker].SetMode(mode)
	}
}

// Guards against processes that bypass the proxies between them.
func TestNetworkTranslatesAddresses(t *testing.T) {
	site := standin.New()
	t.Cleanup(site.Close)
	ips := []netip.Addr{netip.MustParseAddr("127.1.1.1"), netip.MustParseAddr("127.1.1.2"), netip.MustParseAddr("127.1.1.3")}
	worker, err := site.Serve(http.NotFoundHandler())
	require.NoError(t, err)
	site.Store.Put(leadershipTopic, "ledger/0", string(encodedAddress(netip.AddrPortFrom(ips[1], peerPort))))
	site.Store.Put(platform.WorkerTopic, "i-1", `{"address":"`+worker+`"}`)
	n := newNetwork(t, site, ips, []string{worker}, true)
	for process := range ips {
		store := platform.NewStore(netip.MustParseAddrPort(n.store[process].Address()))
		for topic, expected := range map[string]string{
			leadershipTopic:      string(encodedAddress(n.addressFor(process, 1))),
			platform.WorkerTopic: `{"address":"` + n.workers[process][0].Address() + `"}`,
		} {
			result, err := store.Read(t.Context(), platform.Partition{Topic: topic}, 0, 0, readTimeout)
			require.NoError(t, err)
			require.Equal(t, expected, string(result.Records[0].Value))
			newest, _, err := store.Newest(t.Context(), platform.Partition{Topic: topic}, readTimeout)
			require.NoError(t, err)
			require.Equal(t, expected, string(newest[0].Value))
		}
		require.Equal(t, n.real[process], n.addressFor(process, process))
	}
	message := encodedAddress(n.addressFor(0, 2))
	require.Equal(t, encodedAddress(n.addressFor(1, 2)), n.translate(message, 0, 1))
	require.Equal(t, encodedAddress(n.real[2]), n.translate(message, 0, 2))
}
