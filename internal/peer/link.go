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

// QUIC application error codes for closing a connection.
const (
	closeStopping quic.ApplicationErrorCode = iota
	closeRefused
	closeReplaced
	closeBroken
)

const (
	// maxBatchBytes limits one write: no frame is added to a batch of this size or
	// more.
	maxBatchBytes   = 32 << 10
	readBufferBytes = 16 << 10
)

var (
	errReceiveTimeout = errors.New("no data received within the receive timeout")
	errReplaced       = errors.New("replaced by a newer connection from the node")
)

func closeConnection(conn *quic.Conn, code quic.ApplicationErrorCode) {
	// An error means that the connection has already ended.
	_ = conn.CloseWithError(code, "")
}

// link is one connection to a peer with its streams and queues.
type link struct {
	peer    *peer
	conn    *quic.Conn
	streams [purposeCount]*quic.Stream
	queues  [purposeCount]*queue
	started time.Time
	// lastReceived is the time when data last arrived, in nanoseconds since
	// started; 0 means that none has arrived.
	lastReceived atomic.Int64
}

// newLink creates a link on a connection. The dialing side opens the streams and
// sends the purpose as the first byte of each; the other side accepts them. The
// returned link is not nil even if there is an error.
func newLink(ctx context.Context, p *peer, conn *quic.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l := &link{peer: p, conn: conn, started: time.Now()}
	for purpose := range purposeCount {
		l.queues[purpose] = newQueue(p.transport.options.QueueFrames, p.transport.options.QueueBytes)
	}
	if p.isDialer() {
		return l, l.openStreams(ctx)
	}
	return l, l.acceptStreams(ctx)
}

func (l *link) openStreams(ctx context.Context) error {
	for purpose := range purposeCount {
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
	for range purposeCount {
		stream, err := l.conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		if err := stream.SetReadDeadline(deadline); err != nil {
			return err
		}
		var purposeByte [1]byte
		if _, err := io.ReadFull(stream, purposeByte[:]); err != nil {
			return err
		}
		if purposeByte[0] >= byte(purposeCount) || l.streams[purposeByte[0]] != nil {
			return fmt.Errorf("%w: unexpected stream for %s", errMalformed, Purpose(purposeByte[0]))
		}
		if err := stream.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
		l.streams[purposeByte[0]] = stream
	}
	return nil
}

// run sends and receives frames until the link fails, ctx ends or the peer opens
// a newer connection, which it returns. The goroutines of the link have ended
// when it returns.
func (l *link) run(ctx context.Context) (newer *quic.Conn, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	streamErrors := make(chan error, 2*purposeCount)
	for purpose := range purposeCount {
		go func() { streamErrors <- l.writeFrames(ctx, purpose) }()
		go func() { streamErrors <- l.readFrames(purpose) }()
	}
	remaining := 2 * int(purposeCount)
	newer, err = l.awaitEnd(ctx, streamErrors, &remaining)
	l.peer.link.CompareAndSwap(l, nil)
	for purpose := range purposeCount {
		l.peer.counts[purpose].droppedBroken.Add(uint64(l.queues[purpose].close()))
	}
	cancel()
	closeConnection(l.conn, closeCode(err))
	for ; remaining > 0; remaining-- {
		<-streamErrors
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

// awaitEnd waits until the link must end and returns the reason. With errReplaced
// it returns the newer connection. It decrements remaining when it has received
// from streamErrors.
func (l *link) awaitEnd(ctx context.Context, streamErrors <-chan error, remaining *int) (*quic.Conn, error) {
	timeout := l.peer.transport.options.ReceiveTimeout
	ticker := time.NewTicker(timeout / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case err := <-streamErrors:
			*remaining--
			return nil, err
		case newer := <-l.peer.incoming:
			return newer, errReplaced
		case <-ticker.C:
			if time.Since(l.started)-time.Duration(l.lastReceived.Load()) > timeout {
				return nil, errReceiveTimeout
			}
		}
	}
}

// writeFrames sends frames when they are due, and heartbeats on an idle control
// stream. It returns the error of ctx or of the stream.
func (l *link) writeFrames(ctx context.Context, purpose Purpose) error {
	queue, counts := l.queues[purpose], &l.peer.counts[purpose]
	var buffer []byte
	for {
		frames, wait := queue.takeDue(time.Now(), maxBatchBytes)
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

// awaitFrame waits until a frame may have been added to an empty queue. It returns
// false if ctx ends or the heartbeat interval passes first. If wait is not 0, the
// queue holds frames that are not due: awaitFrame waits that long, or until ctx
// ends, and returns false.
func (l *link) awaitFrame(ctx context.Context, purpose Purpose, wait time.Duration) bool {
	ready := l.queues[purpose].ready
	if wait > 0 {
		// The first frame in the queue is due first, so a new one changes
		// nothing.
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

// readFrames passes received frames to Options.Receive until the stream ends or
// fails, and returns the error.
func (l *link) readFrames(purpose Purpose) error {
	counts := &l.peer.counts[purpose]
	reader := bufio.NewReaderSize(&activityReader{l, l.streams[purpose]}, readBufferBytes)
	for {
		frame, err := readFrame(reader)
		if err != nil {
			return err
		}
		counts.bytesReceived.Add(uint64(frameHeaderBytes + len(frame)))
		counts.framesReceived.Add(1)
		if len(frame) > 0 {
			l.peer.transport.options.Receive(l.peer.member.Name, purpose, frame)
		}
	}
}

// activityReader records when data arrives, so that a large frame that takes long
// to arrive on a slow connection does not cause a receive timeout.
type activityReader struct {
	link   *link
	stream *quic.Stream
}

func (r *activityReader) Read(data []byte) (int, error) {
	n, err := r.stream.Read(data)
	if n > 0 {
		r.link.lastReceived.Store(int64(time.Since(r.link.started)))
	}
	return n, err
}
