package peer

import (
	"sync"
	"time"
)

type pushResult int

const (
	pushAccepted pushResult = iota
	pushQueueFull
	pushQueueClosed
)

// queuedFrame is a frame that is due for sending at sendAt.
type queuedFrame struct {
	sendAt time.Time
	frame  []byte
}

// queue is the bounded send queue of one connection and purpose.
type queue struct {
	maxFrames, maxBytes int
	// ready holds a value if the queue may have become non-empty.
	ready chan struct{}

	mu     sync.Mutex
	items  []queuedFrame
	bytes  int
	closed bool
}

func newQueue(maxFrames, maxBytes int) *queue {
	return &queue{maxFrames: maxFrames, maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

func (q *queue) push(item queuedFrame) pushResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return pushQueueClosed
	}
	if len(q.items) >= q.maxFrames || q.bytes+len(item.frame) > q.maxBytes {
		return pushQueueFull
	}
	q.items = append(q.items, item)
	q.bytes += len(item.frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return pushAccepted
}

// takeDue removes and returns due frames, in order, until together they have
// byteLimit bytes or more. If none is due, wait is the time until the first is, or
// 0 for an empty queue.
func (q *queue) takeDue(now time.Time, byteLimit int) (frames [][]byte, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, size := 0, 0
	for count < len(q.items) && size < byteLimit && !q.items[count].sendAt.After(now) {
		frames = append(frames, q.items[count].frame)
		size += len(q.items[count].frame)
		count++
	}
	clear(q.items[:count])
	q.items = q.items[count:]
	q.bytes -= size
	if count == 0 && len(q.items) > 0 {
		wait = q.items[0].sendAt.Sub(now)
	}
	return frames, wait
}

// close drops the queued frames and returns their number.
func (q *queue) close() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped := len(q.items)
	q.items, q.bytes, q.closed = nil, 0, true
	return dropped
}
