package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
)

const eventTimeout = 5 * time.Second

var testSecret = []byte("a secret of the test cluster")

// node is a transport that records the frames that it received.
type node struct {
	*Transport
	mu     sync.Mutex
	frames []string
}

func (n *node) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.frames)
}

func newNode(t *testing.T, name string, change func(*Options)) *node {
	n := &node{}
	options := Options{
		Self: name, Region: "punjab", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Secret: testSecret, Seed: 1,
		HeartbeatInterval: 50 * time.Millisecond, ReceiveTimeout: 500 * time.Millisecond,
		Receive: func(from string, purpose Purpose, frame []byte) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.frames = append(n.frames, fmt.Sprintf("%s %s %.20s", from, purpose, frame))
		},
	}
	if change != nil {
		change(&options)
	}
	var err error
	n.Transport, err = New(options)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	runError := make(chan error, 1)
	go func() { runError <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-runError)
	})
	return n
}

// setMembers gives every node the same member list, which contains all the nodes.
// Their regions alternate.
func setMembers(t *testing.T, nodes ...*node) {
	var members []Member
	for i, n := range nodes {
		region := []string{"punjab", "sindh"}[i%2]
		members = append(members, Member{Name: n.options.Self, Address: n.Address(), Region: region})
	}
	for _, n := range nodes {
		require.NoError(t, n.SetMembers(members))
	}
}

// connectedPair returns two connected nodes, of which a is the dialing one.
func connectedPair(t *testing.T, changeA, changeB func(*Options)) (a, b *node) {
	a, b = newNode(t, "a", changeA), newNode(t, "b", changeB)
	setMembers(t, a, b)
	require.Eventually(t, func() bool { return a.Connected("b") && b.Connected("a") }, eventTimeout, time.Millisecond)
	return a, b
}

// Guards against frames that are lost, reordered, truncated or counted for the
// wrong purpose or region on a working connection.
func TestFramesArriveInOrder(t *testing.T) {
	a, b := connectedPair(t, nil, nil)
	large := bytes.Repeat([]byte("x"), MaxFrameBytes)
	require.True(t, a.Send("b", Bulk, large))
	for _, frame := range []string{"1", "2", "3"} {
		require.True(t, a.Send("b", Control, []byte(frame)))
		require.True(t, b.Send("a", Control, []byte(frame)))
	}
	require.Eventually(t, func() bool { return len(b.received()) == 4 && len(a.received()) == 3 }, eventTimeout, time.Millisecond)
	require.Equal(t, []string{"b control 1", "b control 2", "b control 3"}, a.received())
	require.Contains(t, b.received(), "a bulk xxxxxxxxxxxxxxxxxxxx")
	require.Equal(t, uint64(MaxFrameBytes+frameHeaderBytes), b.Counters().Peers[0].Bulk.BytesReceived)
	require.Greater(t, a.Counters().OtherRegions.Sent, uint64(MaxFrameBytes))
	require.Zero(t, b.Counters().OtherRegions)
	require.False(t, a.Send("b", Bulk, append(large, 'x')))
}

// Guards against a node of another cluster or version that connects or delivers a
// frame, and against a refusal without an event on the node that refuses.
func TestOtherClusterIsRefused(t *testing.T) {
	otherSecret := func(o *Options) { o.Secret = []byte("a secret of another cluster") }
	otherVersion := func(o *Options) { o.Version = ProtocolVersion + 1 }
	for name, test := range map[string]struct {
		self  string // "Z" sorts before "a", the other node, and dials it; "b" is dialed.
		other func(*Options)
		kind  Kind
	}{
		"node with other secret dials":      {"b", otherSecret, RefusedSecret},
		"node with other secret is dialed":  {"Z", otherSecret, RefusedByPeer},
		"node with other version dials":     {"b", otherVersion, RefusedVersion},
		"node with other version is dialed": {"Z", otherVersion, RefusedByPeer},
	} {
		t.Run(name, func(t *testing.T) {
			local, other := newNode(t, test.self, nil), newNode(t, "a", test.other)
			setMembers(t, local, other)
			require.Eventually(t, func() bool { return local.Events()[test.kind] > 0 }, eventTimeout, time.Millisecond)
			require.False(t, local.Connected("a"))
			require.False(t, other.Send(test.self, Control, []byte("x")))
			require.Zero(t, local.Events()[Connected])
			require.Empty(t, local.received())
		})
	}
}

// Guards against accepting a process that knows only the fingerprint of the
// secret, which the handshake sends unencrypted, but not the secret itself.
func TestForgedCertificateIsRefused(t *testing.T) {
	local := newNode(t, "b", nil)
	attacker := newNode(t, "a", func(o *Options) { o.Secret = []byte("a secret of another cluster") })
	require.NoError(t, local.SetMembers([]Member{{Name: "a", Address: attacker.Address()}}))
	config := attacker.clientTLS("b")
	config.NextProtos, config.VerifyConnection = []string{local.identity.protocol}, nil
	conn, err := quic.DialAddr(t.Context(), local.Address().String(), config, attacker.quicConfig())
	if err == nil {
		<-conn.Context().Done()
	}
	require.Eventually(t, func() bool { return local.Events()[RefusedSecret] == 1 }, eventTimeout, time.Millisecond)
	require.Zero(t, local.Events()[Connected])
}

// lossySocket drops packets once startDropping was called: received ones if
// lossyReads is set, and sent ones if lossyWrites is set.
type lossySocket struct {
	net.PacketConn
	mu                      sync.Mutex
	dropReads, dropWrites   bool
	lossyReads, lossyWrites bool
}

func (s *lossySocket) startDropping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReads, s.dropWrites = s.lossyReads, s.lossyWrites
}

func (s *lossySocket) dropping() (reads, writes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropReads, s.dropWrites
}

func (s *lossySocket) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.PacketConn.ReadFrom(data)
		if drop, _ := s.dropping(); err != nil || !drop {
			return n, from, err
		}
	}
}

func (s *lossySocket) WriteTo(data []byte, to net.Addr) (int, error) {
	if _, drop := s.dropping(); drop {
		return len(data), nil
	}
	return s.PacketConn.WriteTo(data, to)
}

// Guards against keeping a connection that has permanently stopped delivering data
// in one or both directions, and against sending frames of the old connection on
// the new one.
func TestConnectionWithoutDataIsReplaced(t *testing.T) {
	for name, lossy := range map[string]*lossySocket{
		"both directions": {lossyReads: true, lossyWrites: true},
		"to dialer":       {lossyReads: true},
		"from dialer":     {lossyWrites: true},
	} {
		t.Run(name, func(t *testing.T) {
			sockets := make(chan *lossySocket, 100)
			a, b := connectedPair(t, func(o *Options) {
				o.WrapSocket = func(socket net.PacketConn) net.PacketConn {
					wrapped := &lossySocket{PacketConn: socket, lossyReads: lossy.lossyReads, lossyWrites: lossy.lossyWrites}
					sockets <- wrapped
					return wrapped
				}
				o.SendDelay = func(string) time.Duration { return time.Minute }
			}, nil)
			require.True(t, a.Send("b", Control, []byte("queued")))
			for len(sockets) > 0 {
				(<-sockets).startDropping()
			}
			startedAt := time.Now()
			require.Eventually(t, func() bool {
				return a.Events()[Connected] == 2 && b.Events()[Connected] == 2 && b.Connected("a")
			}, eventTimeout, time.Millisecond)
			t.Logf("replaced after %s, with a receive timeout of %s", time.Since(startedAt).Round(time.Millisecond), a.options.ReceiveTimeout)
			require.NotZero(t, a.Events()[Silent]+b.Events()[Silent])
			require.Equal(t, uint64(1), a.Counters().Peers[0].Control.DroppedBroken)
			require.True(t, b.Send("a", Control, []byte("after")))
			require.Eventually(t, func() bool { return len(a.received()) == 1 }, eventTimeout, time.Millisecond)
			require.Empty(t, b.received())
		})
	}
}

// Guards against a queue that grows without limit while a peer is slow, and
// against dropped frames that are not counted.
func TestQueueIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		frames, bytes, size, queued int
	}{
		"frames": {frames: 3, bytes: 1000, size: 1, queued: 3},
		"bytes":  {frames: 1000, bytes: 100, size: 40, queued: 2},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := connectedPair(t, func(o *Options) {
				o.QueueFrames, o.QueueBytes = test.frames, test.bytes
				o.SendDelay = func(string) time.Duration { return time.Minute }
			}, nil)
			accepted := 0
			for range 5 {
				if a.Send("b", Bulk, make([]byte, test.size)) {
					accepted++
				}
			}
			require.Equal(t, test.queued, accepted)
			require.Equal(t, uint64(5-test.queued), a.Counters().Peers[0].Bulk.DroppedFull)
		})
	}
}

// Guards against a send delay that is not applied, or that adds up over the queued
// frames.
func TestSendDelayDoesNotAddUp(t *testing.T) {
	const delay = 100 * time.Millisecond
	a, b := connectedPair(t, func(o *Options) { o.SendDelay = func(string) time.Duration { return delay } }, nil)
	startedAt := time.Now()
	for range 20 {
		require.True(t, a.Send("b", Control, []byte("x")))
	}
	require.Eventually(t, func() bool { return len(b.received()) == 20 }, eventTimeout, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(startedAt), delay)
	require.Less(t, time.Since(startedAt), 10*delay)
}

// Guards against a node that keeps reading after a violation of the protocol, or
// that allocates memory for a frame above the limit.
func TestMalformedInputClosesConnection(t *testing.T) {
	for name, streams := range map[string][][]byte{
		"unknown purpose":  {{9}, {9}},
		"repeated purpose": {{0}, {0}},
		"frame too large":  {binary.BigEndian.AppendUint32([]byte{0}, MaxFrameBytes+1), {1}},
	} {
		t.Run(name, func(t *testing.T) {
			b, a := newNode(t, "b", nil), newNode(t, "a", nil)
			require.NoError(t, b.SetMembers([]Member{{Name: "a", Address: a.Address()}}))
			conn, err := quic.DialAddr(t.Context(), b.Address().String(), a.clientTLS("b"), a.quicConfig())
			require.NoError(t, err)
			for _, data := range streams {
				stream, err := conn.OpenStreamSync(t.Context())
				require.NoError(t, err)
				_, err = stream.Write(data)
				require.NoError(t, err)
			}
			<-conn.Context().Done()
			require.Eventually(t, func() bool { return b.Events()[Malformed] == 1 }, eventTimeout, time.Millisecond)
			require.Empty(t, b.received())
		})
	}
}

// Guards against a reader that panics, loops forever, accepts a frame above the
// limit or returns a frame that differs from the written one.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, []byte("frame")), nil))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(data)
		var written []byte
		for {
			consumed := len(data) - reader.Len()
			frame, err := readFrame(reader)
			if err != nil {
				require.Equal(t, data[:consumed], append([]byte{}, written...))
				require.True(t, err != io.EOF || consumed == len(data))
				return
			}
			require.LessOrEqual(t, len(frame), MaxFrameBytes)
			written = appendFrame(written, frame)
		}
	})
}
