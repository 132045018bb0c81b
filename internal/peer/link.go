package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Codes with which a connection is closed.
const (
	closeStopping quic.ApplicationErrorCode = iota
	closeRefused
	closeReplaced
	closeBroken
)

const (
	// batchBytes bounds how many queued bytes go into one write.
	batchBytes = 32 << 10
	readBuffer = 16 << 10
)

var (
	errSilent   = errors.New("nothing arrived on the connection")
	errReplaced = errors.New("the node opened a newer connection")
)

func closeConn(conn *quic.Conn, code quic.ApplicationErrorCode) {
	// The connection may have ended before; nothing remains to be done then.
	_ = conn.CloseWithError(code, "")
}

// link is one connection to a peer with its streams and queues.
type link struct {
	peer    *peer
	conn    *quic.Conn
	streams [purposes]*quic.Stream
	queues  [purposes]*queue
	started time.Time
	// heard is the time of the last arrival as a duration since started; 0
	// means that nothing has arrived.
	heard atomic.Int64
}

// newLink opens or accepts the streams. The dialing side opens them and sends
// the purpose as the first byte of each.
func newLink(ctx context.Context, p *peer, conn *quic.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l := &link{peer: p, conn: conn, started: time.Now()}
	for purpose := range purposes {
		l.queues[purpose] = newQueue(p.transport.options.QueueFrames, p.transport.options.QueueBytes)
	}
	if p.dials() {
		return l, l.openStreams(ctx)
	}
	return l, l.acceptStreams(ctx)
}

func (l *link) openStreams(ctx context.Context) error {
	for purpose := range purposes {
		stream, err := l.conn.OpenStreamSync(ctx)
		if err != nil {
			return err
		}
		if _, err := stream.Write([]byte{byte(purpose)}); err != nil {
			return err
		}
		l.streams[purpose] = stream
	}
	return nil
}

func (l *link) acceptStreams(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	for range purposes {
		stream, err := l.conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		if err := stream.SetReadDeadline(deadline); err != nil {
			return err
		}
		var first [1]byte
		if _, err := io.ReadFull(stream, first[:]); err != nil {
			return err
		}
		if first[0] >= byte(purposes) || l.streams[first[0]] != nil {
			return fmt.Errorf("%w: a stream for %s", errMalformed, Purpose(first[0]))
		}
		if err := stream.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
		l.streams[first[0]] = stream
	}
	return nil
}

// run serves the link until it breaks, ctx ends or the peer opens a newer
// connection, which it returns. All goroutines have ended when it returns.
func (l *link) run(ctx context.Context) (newer *quic.Conn, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 2*purposes)
	for purpose := range purposes {
		go func() { ended <- l.write(ctx, purpose) }()
		go func() { ended <- l.read(purpose) }()
	}
	remaining := 2 * int(purposes)
	newer, err = l.watch(ctx, ended, &remaining)
	l.peer.link.CompareAndSwap(l, nil)
	for purpose := range purposes {
		l.peer.counts[purpose].droppedBroken.Add(uint64(l.queues[purpose].close()))
	}
	cancel()
	closeConn(l.conn, closeCode(err))
	for ; remaining > 0; remaining-- {
		<-ended
	}
	return newer, err
}

func closeCode(err error) quic.ApplicationErrorCode {
	switch {
	case errors.Is(err, context.Canceled):
		return closeStopping
	case errors.Is(err, errReplaced):
		return closeReplaced
	}
	return closeBroken
}

// watch returns the reason why the link has to end.
func (l *link) watch(ctx context.Context, ended <-chan error, remaining *int) (*quic.Conn, error) {
	silence := l.peer.transport.options.ReceiveTimeout
	ticker := time.NewTicker(silence / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case err := <-ended:
			*remaining--
			return nil, err
		case newer := <-l.peer.incoming:
			return newer, errReplaced
		case <-ticker.C:
			if time.Since(l.started)-time.Duration(l.heard.Load()) > silence {
				return nil, errSilent
			}
		}
	}
}

// write sends frames as they become due, and heartbeats on an idle control stream.
func (l *link) write(ctx context.Context, purpose Purpose) error {
	queue, counts := l.queues[purpose], &l.peer.counts[purpose]
	var buffer []byte
	for {
		frames, wait := queue.take(time.Now(), batchBytes)
		if len(frames) == 0 && !l.awaitFrame(ctx, purpose, wait) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if wait == 0 && purpose == Control {
				frames = [][]byte{nil}
			}
		}
		if len(frames) == 0 {
			continue
		}
		buffer = buffer[:0]
		for _, frame := range frames {
			buffer = appendFrame(buffer, frame)
		}
		if err := l.streams[purpose].SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := l.streams[purpose].Write(buffer); err != nil {
			counts.droppedBroken.Add(uint64(len(frames)))
			return err
		}
		counts.framesSent.Add(uint64(len(frames)))
		counts.bytesSent.Add(uint64(len(buffer)))
	}
}

// awaitFrame waits until the queue may hold a due frame. It reports false at
// the end of ctx, of wait, or, when wait is 0, of the heartbeat interval.
func (l *link) awaitFrame(ctx context.Context, purpose Purpose, wait time.Duration) bool {
	ready := l.queues[purpose].ready
	if wait > 0 {
		// The first frame in the queue is the first to become due.
		ready = nil
	} else {
		wait = l.peer.transport.options.HeartbeatInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ready:
		return true
	case <-timer.C:
		return false
	}
}

// read passes frames on until the stream ends.
func (l *link) read(purpose Purpose) error {
	counts := &l.peer.counts[purpose]
	reader := bufio.NewReaderSize(&hearing{l, l.streams[purpose]}, readBuffer)
	for {
		frame, err := readFrame(reader)
		if err != nil {
			return err
		}
		counts.bytesReceived.Add(uint64(frameHeader + len(frame)))
		counts.framesReceived.Add(1)
		if len(frame) > 0 {
			l.peer.transport.options.Receive(l.peer.member.Name, purpose, frame)
		}
	}
}

// hearing notes the time of every arrival, so that a large frame on a slow
// connection does not count as silence.
type hearing struct {
	link   *link
	stream *quic.Stream
}

func (h *hearing) Read(data []byte) (int, error) {
	n, err := h.stream.Read(data)
	if n > 0 {
		h.link.heard.Store(int64(time.Since(h.link.started)))
	}
	return n, err
}
