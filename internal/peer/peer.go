// Package peer transports frames between the nodes of a cluster over QUIC.
//
// Each pair of nodes has one connection with one stream per purpose. The node
// whose name sorts first dials. In the TLS 1.3 handshake, both sides prove that
// they know the cluster secret and use the same protocol version. Any other node
// is refused before the transport accepts data from it.
//
// Frames are delivered at most once, and in order within a purpose. Frames that
// are queued or partly sent when a connection ends are dropped and counted. They
// are never sent again, because only the calling layer knows which messages may
// be repeated. A connection on which no data arrives for Options.ReceiveTimeout
// is closed and replaced by one with a new socket.
//
// # Usage
//
//	transport, err := peer.New(peer.Options{
//		Self: "node-1", Region: "punjab", Listen: address, Secret: secret,
//		Receive: func(from string, purpose peer.Purpose, frame []byte) { ... },
//	})
//	transport.SetMembers(members)
//	go func() { done <- transport.Run(ctx) }()
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

// Defaults and limits.
const (
	// DefaultHeartbeatInterval is how long the control stream is idle before a
	// heartbeat is sent; a busy stream carries no heartbeats.
	DefaultHeartbeatInterval = 250 * time.Millisecond
	// DefaultReceiveTimeout is below the 1.5 s after which the membership layer
	// suspects a node, so that a broken connection is replaced before that.
	DefaultReceiveTimeout = 1250 * time.Millisecond
	// DefaultQueueFrames and DefaultQueueBytes limit the queue of each peer
	// and purpose. With 8 peers that read nothing, the queues of both purposes
	// take 80 MB of a node's 256 MB. An empty queue has room for a frame of
	// MaxFrameBytes.
	DefaultQueueFrames = 4096
	DefaultQueueBytes  = 5 << 20
	// MaxMembers is far above the 9 nodes of the largest planned cluster.
	MaxMembers = 64

	dialTimeout  = 2 * time.Second
	writeTimeout = 10 * time.Second
	// The delay before a dial is repeated is random, between 0 and a limit that
	// doubles from initialRetryDelay to maxRetryDelay.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	// packetHeaderBytes is the size of one packet's IPv4 and UDP headers.
	packetHeaderBytes = 28
	// The receive windows limit the memory for unread data to 24 MB with 8
	// peers. A link of 30 Mbit/s with a round trip of 60 ms needs only 225 KB.
	maxStreamWindowBytes     = 2 << 20
	maxConnectionWindowBytes = 3 << 20
)

// Purpose identifies a stream of a connection.
type Purpose uint8

// The purposes. Bulk is for large frames, which must not delay control frames.
const (
	Control Purpose = iota
	Bulk
	purposeCount
)

// String returns the name of the purpose, or its number if it is unknown.
func (p Purpose) String() string {
	if p < purposeCount {
		return [purposeCount]string{"control", "bulk"}[p]
	}
	return fmt.Sprintf("purpose-%d", uint8(p))
}

// Member is a node of the cluster.
type Member struct {
	Name    string
	Address netip.AddrPort
	Region  string
}

// Options configure a Transport. Only Members can change later, by SetMembers.
type Options struct {
	Self   string
	Region string
	// Listen is the UDP address to listen on; port 0 selects a free port.
	Listen netip.AddrPort
	// Secret is the cluster secret, of at least MinSecretBytes bytes.
	Secret  []byte
	Members []Member
	// Receive is called with each received frame and may keep or change the
	// frame. It must not block, because it runs on the goroutine that reads the
	// stream. Calls for different peers and purposes run concurrently.
	Receive func(from string, purpose Purpose, frame []byte)
	// OnEvent is called for each event; nil ignores events. It must not block.
	OnEvent func(Event)
	// SendDelay returns a delay that is added before a frame is sent, to
	// simulate network latency; nil adds none.
	SendDelay func(to string) time.Duration
	// WrapSocket wraps every UDP socket, for fault injection; nil wraps none.
	WrapSocket func(net.PacketConn) net.PacketConn
	// Seed is the seed for random retry delays; 0 selects a random seed.
	Seed uint64
	// Version is the protocol version; 0 means ProtocolVersion.
	Version int
	// HeartbeatInterval is how long the control stream is idle before a
	// heartbeat is sent. ReceiveTimeout is how long nothing arrives on a
	// connection before it is replaced; it must be longer. 0 means the default.
	HeartbeatInterval, ReceiveTimeout time.Duration
	// QueueFrames and QueueBytes limit the queue of each peer and purpose; 0
	// means the default.
	QueueFrames, QueueBytes int
}

// Transport sends and receives frames. It is safe for concurrent use.
type Transport struct {
	options     Options
	identity    *identity
	socket      *net.UDPConn
	eventCounts eventCounters
	// membersChanged tells Run that peers has been replaced.
	membersChanged chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
}

// New checks the options and opens the listening socket, which is closed when Run
// returns. It returns one error that lists all invalid options, or the error of
// SetMembers, of creating the certificate or of opening the socket.
func New(options Options) (*Transport, error) {
	setDefaults(&options)
	if err := validateOptions(options); err != nil {
		return nil, err
	}
	t := &Transport{options: options, membersChanged: make(chan struct{}, 1), peers: map[string]*peer{}}
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

func validateOptions(o Options) error {
	var errs []error
	if o.Self == "" {
		errs = append(errs, errors.New("self: must not be empty"))
	}
	if !o.Listen.IsValid() {
		errs = append(errs, errors.New("listen: must be an address with a port"))
	}
	if len(o.Secret) < MinSecretBytes {
		errs = append(errs, fmt.Errorf("secret: must have at least %d bytes, got %d", MinSecretBytes, len(o.Secret)))
	}
	if o.Receive == nil {
		errs = append(errs, errors.New("receive: must be set"))
	}
	if o.ReceiveTimeout <= o.HeartbeatInterval {
		errs = append(errs, fmt.Errorf("receive timeout: must be longer than the heartbeat interval of %s, got %s", o.HeartbeatInterval, o.ReceiveTimeout))
	}
	return errors.Join(errs...)
}

// Address returns the address on which the transport listens.
func (t *Transport) Address() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetMembers replaces the list of members. Connections to unchanged members are
// kept, and an entry for the node itself is ignored. It returns an error, and
// leaves the list unchanged, for more than MaxMembers members, an entry without
// a name or address, or a repeated name.
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
			return fmt.Errorf("members: entry %q has no name or address, or occurs twice", m.Name)
		}
		if existing := t.peers[m.Name]; existing != nil && existing.member == m {
			peers[m.Name] = existing
			continue
		}
		peers[m.Name] = newPeer(t, m)
	}
	t.peers = peers
	select {
	case t.membersChanged <- struct{}{}:
	default:
	}
	return nil
}

func (t *Transport) peer(name string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[name]
}

// Send queues a frame without blocking and reports whether it was queued, which
// does not mean that it arrives. A frame to a member is dropped and counted if
// there is no connection, if the queue is full, or if the frame is empty or
// larger than MaxFrameBytes. The caller must not change the frame afterwards.
func (t *Transport) Send(to string, purpose Purpose, frame []byte) bool {
	p := t.peer(to)
	if p == nil || purpose >= purposeCount {
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
	switch link.queues[purpose].push(queuedFrame{sendAt: time.Now().Add(t.options.SendDelay(to)), frame: frame}) {
	case pushQueueFull:
		counts.droppedFull.Add(1)
		return false
	case pushQueueClosed:
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

// Run accepts and dials connections until ctx ends, and must be called once. It
// returns after all its goroutines have ended, with the errors of the listener
// and of closing.
func (t *Transport) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quicTransport := &quic.Transport{Conn: t.options.WrapSocket(t.socket), StatelessResetKey: &t.identity.resetKey}
	defer t.socket.Close()
	listener, err := quicTransport.Listen(t.serverTLS(), t.quicConfig())
	if err != nil {
		return err
	}
	acceptErrors := make(chan error, 1)
	go func() { acceptErrors <- t.accept(ctx, listener) }()
	err = t.runPeers(ctx, acceptErrors)
	return errors.Join(err, listener.Close(), quicTransport.Close())
}

// runPeers runs one goroutine for each peer until accept has ended. It returns
// the error of accept after all these goroutines have ended.
func (t *Transport) runPeers(ctx context.Context, acceptErrors <-chan error) error {
	running := map[*peer]context.CancelFunc{}
	ended := make(chan *peer, MaxMembers)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var acceptError error
	for accepting := true; accepting || len(running) > 0; {
		select {
		case p := <-ended:
			delete(running, p)
		case acceptError = <-acceptErrors:
			accepting = false
			cancel()
		case <-t.membersChanged:
			if accepting {
				t.reconcilePeers(ctx, running, ended)
			}
		}
	}
	return acceptError
}

// reconcilePeers starts a goroutine for each new peer and stops those of removed
// peers.
func (t *Transport) reconcilePeers(ctx context.Context, running map[*peer]context.CancelFunc, ended chan<- *peer) {
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

// accept passes incoming connections to their peers until ctx ends.
func (t *Transport) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		name := peerName(conn.ConnectionState().TLS)
		p := t.peer(name)
		if p == nil || p.isDialer() {
			t.reportEvent(Event{Kind: RefusedMember, Peer: name, Address: conn.RemoteAddr().String()})
			closeConnection(conn, closeRefused)
			continue
		}
		p.setIncoming(conn)
	}
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        3 * t.options.ReceiveTimeout,
		MaxIncomingStreams:    int64(purposeCount),
		MaxIncomingUniStreams: -1,

		MaxStreamReceiveWindow:     maxStreamWindowBytes,
		MaxConnectionReceiveWindow: maxConnectionWindowBytes,
	}
}

// retryRandom returns the random source for one peer's retry delays.
func (t *Transport) retryRandom(name string) *rand.Rand {
	return rand.New(rand.NewPCG(t.options.Seed, xxhash.Sum64String(name)))
}
