package journal

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/google/uuid"
)

// pendingRecord is an encoded record that waits for its result.
type pendingRecord struct {
	identity string
	data     []byte
	result   chan Result
}

// batch holds the records of one append. Identity and records are the same in
// every attempt, because the log recognises a retry by the identity.
type batch struct {
	identity string
	records  []*pendingRecord
}

// Append buffers a record for the next batch and returns a channel that receives
// exactly one result. ErrBufferFull, ErrStopped and encoding errors mean that the
// record was not buffered.
func (c *Client) Append(record Record) (<-chan Result, error) {
	data, err := record.encode()
	if err != nil {
		return nil, err
	}
	pending := &pendingRecord{identity: record.Identity, data: data, result: make(chan Result, 1)}
	if err := c.enqueue(pending); err != nil {
		return nil, err
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return pending.result, nil
}

func (c *Client) enqueue(pending *pendingRecord) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return ErrStopped
	}
	if len(c.buffer) >= c.options.BufferRecords || c.bufferedBytes+len(pending.data) > c.options.BufferBytes {
		return ErrBufferFull
	}
	c.buffer = append(c.buffer, pending)
	c.bufferedBytes += len(pending.data)
	return nil
}

// Withdraw removes a record from the buffer and reports whether it was still
// there. A withdrawn record never reaches the log, so its job can be refused as
// not run. Its result is ErrWithdrawn.
func (c *Client) Withdraw(identity string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.buffer, func(pending *pendingRecord) bool { return pending.identity == identity })
	if i < 0 {
		return false
	}
	c.buffer[i].result <- Result{Err: ErrWithdrawn}
	c.bufferedBytes -= len(c.buffer[i].data)
	c.buffer = slices.Delete(c.buffer, i, i+1)
	return true
}

// Start writes buffered records in the background until the context ends; the
// channel then receives the context's error. Start must be called only once.
func (c *Client) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- c.runAppends(ctx) }()
	return ended
}

func (c *Client) runAppends(ctx context.Context) error {
	defer c.failBufferedRecords()
	retry := c.newBackoff()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		for c.hasBuffered() {
			// Taking the batch after the wait includes the records that were
			// buffered during the wait.
			if err := c.limiter.Wait(ctx); err != nil {
				return ctx.Err()
			}
			if next := c.takeBatch(); len(next.records) > 0 {
				c.writeBatch(ctx, retry, next)
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

func (c *Client) hasBuffered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.buffer) > 0
}

func (c *Client) takeBatch() batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, size := 0, 0
	for count < len(c.buffer) && count < maxRecordsPerAppend {
		size += len(c.buffer[count].data)
		if size > maxBytesPerAppend && count > 0 {
			break
		}
		c.bufferedBytes -= len(c.buffer[count].data)
		count++
	}
	taken := batch{identity: uuid.NewString(), records: slices.Clone(c.buffer[:count])}
	c.buffer = slices.Delete(c.buffer, 0, count)
	return taken
}

// writeBatch appends the batch and sends a result to each of its records. It
// retries until the log confirms the append or refuses it permanently, or the
// context ends.
func (c *Client) writeBatch(ctx context.Context, retry *backoff, b batch) {
	request := appendRequest{Identity: b.identity}
	for _, pending := range b.records {
		request.Records = append(request.Records, pending.data)
	}
	// mayBeWritten is set once an attempt may have written the records: it got no valid
	// response or a status of 500 or more. Status 429 means that it has not.
	mayBeWritten := false
	retry.failures = 0
	for {
		first, err := c.attempt(ctx, request)
		if err == nil {
			b.complete(func(i int) Result { return Result{Offset: first + int64(i)} })
			return
		}
		// Status 503 leaves the outcome unknown, as a missing response does.
		var refusal *RefusedError
		refused := errors.As(err, &refusal) && refusal.Status != http.StatusServiceUnavailable
		if refused && refusal.Status != http.StatusTooManyRequests && refusal.Status < http.StatusInternalServerError {
			b.complete(func(int) Result { return Result{Err: err} })
			return
		}
		mayBeWritten = mayBeWritten || !refused || refusal.Status != http.StatusTooManyRequests
		if sleep(ctx, retry.nextDelay()) != nil || c.limiter.Wait(ctx) != nil {
			b.complete(func(int) Result { return Result{Err: stopError(mayBeWritten)} })
			return
		}
	}
}

func stopError(mayBeWritten bool) error {
	if mayBeWritten {
		return ErrOutcomeUnknown
	}
	return ErrStopped
}

// attempt sends the append once and returns the offset of its first record.
func (c *Client) attempt(ctx context.Context, request appendRequest) (int64, error) {
	start := c.options.Now()
	response, err := c.postAppend(ctx, request)
	c.health.observeAppend(start, c.options.Now(), err)
	return response.First, err
}

func (b batch) complete(result func(i int) Result) {
	for i, pending := range b.records {
		pending.result <- result(i)
	}
}

func (c *Client) failBufferedRecords() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, pending := range c.buffer {
		pending.result <- Result{Err: ErrStopped}
	}
	c.buffer, c.bufferedBytes = nil, 0
}
