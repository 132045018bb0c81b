// Package peer carries frames between the nodes of a cluster over QUIC.
//
// Each pair of nodes has one connection with one stream per purpose. The node
// whose name sorts first dials. Both sides prove with TLS 1.3 that they know
// the cluster secret and speak the same protocol version; any other node is
// refused before it can have an effect.
//
// Delivery is at most once and in order within a purpose. Frames that are
// queued or half sent when a connection ends are dropped and counted, never
// sent again: the layer above knows which messages may be repeated. A
// connection on which nothing arrives is replaced by one from a new socket.
//
// # Usage
//
//	transport, err := peer.New(peer.Options{
//		Self: "node-1", Region: "punjab", Listen: address, Secret: secret,
//		Receive: func(from string, purpose peer.Purpose, frame []byte) { ... },
//	})
//	transport.SetMembers(members)
//	go func() { ended <- transport.Run(ctx) }()
//	queued := transport.Send("node-2", peer.Control, frame)
package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quic-go/quic-go"
)

// Defaults and bounds.
const (
	// DefaultHeartbeatInterval is the longest time without a frame on the control
	// stream; a busy stream carries no heartbeats.
	DefaultHeartbeatInterval = 250 * time.Millisecond
	// DefaultReceiveTimeout replaces a silent connection before the membership layer
	// suspects the node, which it does after 1.5 s.
	DefaultReceiveTimeout = 1250 * time.Millisecond
	// DefaultQueueFrames and DefaultQueueBytes bound the queue of each peer
	// and purpose. With 8 peers that read nothing, both purposes together hold
	// 80 MB of the 256 MB of a node, and one largest frame always fits.
	DefaultQueueFrames = 4096
	DefaultQueueBytes  = 5 << 20
	// MaxMembers is far above the 9 nodes of the design.
	MaxMembers = 64

	dialTimeout  = 2 * time.Second
	writeTimeout = 10 * time.Second
	// The delay before a dial is random between 0 and a bound that doubles
	// from firstRetry to lastRetry.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// udpOverhead is the size of the IPv4 and UDP headers of one packet.
	udpOverhead = 28
	// The receive windows bound the memory for unread data to 24 MB with 8
	// peers. A link of 30 Mbit/s and 60 ms both ways has 225 KB in flight.
	maxStreamWindow     = 2 << 20
	maxConnectionWindow = 3 << 20
)

// Purpose names a stream of a connection.
type Purpose uint8

// The purposes. Bulk is for large frames that must not delay control frames.
const (
	Control Purpose = iota
	Bulk
	purposes
)

// String returns the name of the purpose.
func (p Purpose) String() string {
	if p < purposes {
		return [purposes]string{"control", "bulk"}[p]
	}
	return fmt.Sprintf("purpose-%d", uint8(p))
}

// Member is another node.
type Member struct {
	Name    string
	Address netip.AddrPort
	Region  string
}

// Options are fixed for the life of a transport.
type Options struct {
	Self   string
	Region string
	// Listen is the address to listen on; port 0 takes a free port.
	Listen netip.AddrPort
	// Secret has at least MinSecretBytes bytes.
	Secret  []byte
	Members []Member
	// Receive takes a frame, which belongs to it. It must not block: it runs
	// on the goroutine that reads the stream, and so on several goroutines at
	// once for different peers and purposes.
	Receive func(from string, purpose Purpose, frame []byte)
	// OnEvent takes events; nil drops them. It must not block.
	OnEvent func(Event)
	// SendDelay is added before a frame is sent, to imitate distance; nil is none.
	SendDelay func(to string) time.Duration
	// WrapSocket wraps every UDP socket, for fault injection; nil changes nothing.
	WrapSocket func(net.PacketConn) net.PacketConn
	// Seed starts the random source of retry delays; 0 takes a random one.
	Seed uint64
	// Version is the protocol version; 0 takes ProtocolVersion.
	Version int
	// The following take their defaults when they are 0.
	HeartbeatInterval, ReceiveTimeout time.Duration
	QueueFrames, QueueBytes           int
}

// Transport sends and receives frames. It is safe for use by several goroutines.
type Transport struct {
	options  Options
	identity *identity
	socket   *net.UDPConn
	events   eventCounts
	// changed tells Run that peers was replaced.
	changed chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
}

// New checks the options and listens. It reports all faults of the options at
// once. The socket is closed when Run ends.
func New(options Options) (*Transport, error) {
	setDefaults(&options)
	if err := check(options); err != nil {
		return nil, err
	}
	t := &Transport{options: options, changed: make(chan struct{}, 1), peers: map[string]*peer{}}
	var err error
	if t.identity, err = newIdentity(options.Self, options.Secret, options.Version); err != nil {
		return nil, err
	}
	if err := t.SetMembers(options.Members); err != nil {
		return nil, err
	}
	if t.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen)); err != nil {
		return nil, err
	}
	return t, nil
}

func setDefaults(o *Options) {
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.ReceiveTimeout = cmp.Or(o.ReceiveTimeout, DefaultReceiveTimeout)
	o.QueueFrames = cmp.Or(o.QueueFrames, DefaultQueueFrames)
	o.QueueBytes = cmp.Or(o.QueueBytes, DefaultQueueBytes)
	o.Version = cmp.Or(o.Version, ProtocolVersion)
	o.Seed = cmp.Or(o.Seed, rand.Uint64())
	if o.OnEvent == nil {
		o.OnEvent = func(Event) {}
	}
	if o.SendDelay == nil {
		o.SendDelay = func(string) time.Duration { return 0 }
	}
	if o.WrapSocket == nil {
		o.WrapSocket = func(socket net.PacketConn) net.PacketConn { return socket }
	}
}

func check(o Options) error {
	var findings []error
	if o.Self == "" {
		findings = append(findings, errors.New("self: must not be empty"))
	}
	if !o.Listen.IsValid() {
		findings = append(findings, errors.New("listen: must be an address with a port"))
	}
	if len(o.Secret) < MinSecretBytes {
		findings = append(findings, fmt.Errorf("secret: must have at least %d bytes, got %d", MinSecretBytes, len(o.Secret)))
	}
	if o.Receive == nil {
		findings = append(findings, errors.New("receive: must be set"))
	}
	if o.ReceiveTimeout <= o.HeartbeatInterval {
		findings = append(findings, fmt.Errorf("silence: must be longer than the heartbeat of %s, got %s", o.HeartbeatInterval, o.ReceiveTimeout))
	}
	return errors.Join(findings...)
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetMembers replaces the other nodes. Connections to nodes that are unchanged
// stay. An entry for the node itself is ignored. After an error the members
// are as before.
func (t *Transport) SetMembers(members []Member) error {
	if len(members) > MaxMembers {
		return fmt.Errorf("members: at most %d are supported, got %d", MaxMembers, len(members))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := map[string]*peer{}
	for _, m := range members {
		if m.Name == t.options.Self {
			continue
		}
		if m.Name == "" || !m.Address.IsValid() || peers[m.Name] != nil {
			return fmt.Errorf("members: entry %q has no name or address, or is named twice", m.Name)
		}
		if known := t.peers[m.Name]; known != nil && known.member == m {
			peers[m.Name] = known
			continue
		}
		peers[m.Name] = newPeer(t, m)
	}
	t.peers = peers
	select {
	case t.changed <- struct{}{}:
	default:
	}
	return nil
}

func (t *Transport) peer(name string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[name]
}

// Send queues a frame and never blocks. It reports false, and counts a drop,
// when there is no connection, the queue is full or the frame is empty or
// larger than MaxFrameBytes. True does not mean that the frame arrives. The
// frame must not be changed afterwards.
func (t *Transport) Send(to string, purpose Purpose, frame []byte) bool {
	p := t.peer(to)
	if p == nil || purpose >= purposes {
		return false
	}
	counts := &p.counts[purpose]
	if len(frame) == 0 || len(frame) > MaxFrameBytes {
		counts.droppedSize.Add(1)
		return false
	}
	link := p.link.Load()
	if link == nil {
		counts.droppedDown.Add(1)
		return false
	}
	switch link.queues[purpose].push(queued{due: time.Now().Add(t.options.SendDelay(to)), frame: frame}) {
	case queueFull:
		counts.droppedFull.Add(1)
		return false
	case queueClosed:
		counts.droppedDown.Add(1)
		return false
	}
	return true
}

// Connected reports whether there is a connection to the node.
func (t *Transport) Connected(to string) bool {
	p := t.peer(to)
	return p != nil && p.link.Load() != nil
}

// Run accepts and dials connections until ctx ends. It returns after all its
// goroutines ended.
func (t *Transport) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listening := &quic.Transport{Conn: t.options.WrapSocket(t.socket), StatelessResetKey: &t.identity.resetKey}
	defer t.socket.Close()
	listener, err := listening.Listen(t.serverTLS(), t.quicConfig())
	if err != nil {
		return err
	}
	accepted := make(chan error, 1)
	go func() { accepted <- t.accept(ctx, listener) }()
	err = t.supervise(ctx, accepted)
	return errors.Join(err, listener.Close(), listening.Close())
}

// supervise keeps one goroutine for each peer. It returns after the end of
// ctx or of accepting, when all of them have ended.
func (t *Transport) supervise(ctx context.Context, accepted <-chan error) error {
	running := map[*peer]context.CancelFunc{}
	ended := make(chan *peer, MaxMembers)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var acceptError error
	for accepting := true; accepting || len(running) > 0; {
		select {
		case p := <-ended:
			delete(running, p)
		case acceptError = <-accepted:
			accepting = false
			cancel()
		case <-t.changed:
			if accepting {
				t.adjust(ctx, running, ended)
			}
		}
	}
	return acceptError
}

// adjust starts a goroutine for each new peer and stops those of former ones.
func (t *Transport) adjust(ctx context.Context, running map[*peer]context.CancelFunc, ended chan<- *peer) {
	t.mu.Lock()
	peers := slices.Collect(maps.Values(t.peers))
	t.mu.Unlock()
	for p, stop := range running {
		if !slices.Contains(peers, p) {
			stop()
		}
	}
	for _, p := range peers {
		if running[p] == nil {
			peerContext, stop := context.WithCancel(ctx)
			running[p] = stop
			go func() {
				defer stop()
				p.run(peerContext)
				ended <- p
			}()
		}
	}
}

// accept hands incoming connections to their peers until ctx ends.
func (t *Transport) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		name := nameOf(conn.ConnectionState().TLS)
		p := t.peer(name)
		if p == nil || p.dials() {
			t.event(Event{Kind: RefusedMember, Peer: name, Address: conn.RemoteAddr().String()})
			closeConn(conn, closeRefused)
			continue
		}
		p.offer(conn)
	}
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        3 * t.options.ReceiveTimeout,
		MaxIncomingStreams:    int64(purposes),
		MaxIncomingUniStreams: -1,

		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnectionWindow,
	}
}

// randomFor returns the random source of one peer's retry delays.
func (t *Transport) randomFor(name string) *rand.Rand {
	return rand.New(rand.NewPCG(t.options.Seed, xxhash.Sum64String(name)))
}
