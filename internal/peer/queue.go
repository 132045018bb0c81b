package peer

import (
	"sync"
	"time"
)

type pushResult int

const (
	queuePushed pushResult = iota
	queueFull
	queueClosed
)

// queued is a frame that is not to be sent before due.
type queued struct {
	due   time.Time
	frame []byte
}

// queue holds the frames of one connection and purpose, within bounds.
type queue struct {
	maxFrames, maxBytes int
	// ready holds a value when the queue may have become non-empty.
	ready chan struct{}

	mu     sync.Mutex
	items  []queued
	bytes  int
	closed bool
}

func newQueue(maxFrames, maxBytes int) *queue {
	return &queue{maxFrames: maxFrames, maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

func (q *queue) push(item queued) pushResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return queueClosed
	}
	if len(q.items) >= q.maxFrames || q.bytes+len(item.frame) > q.maxBytes {
		return queueFull
	}
	q.items = append(q.items, item)
	q.bytes += len(item.frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return queuePushed
}

// take removes frames that are due, in order, up to about limit bytes. If none
// is due, it returns the time until the first is, or 0 for an empty queue.
func (q *queue) take(now time.Time, limit int) (frames [][]byte, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, size := 0, 0
	for count < len(q.items) && size < limit && !q.items[count].due.After(now) {
		frames = append(frames, q.items[count].frame)
		size += len(q.items[count].frame)
		count++
	}
	clear(q.items[:count])
	q.items = q.items[count:]
	q.bytes -= size
	if count == 0 && len(q.items) > 0 {
		wait = q.items[0].due.Sub(now)
	}
	return frames, wait
}

// close drops the remaining frames and returns their number.
func (q *queue) close() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped := len(q.items)
	q.items, q.bytes, q.closed = nil, 0, true
	return dropped
}
