// Package transfer limits how long a call waits for bytes of its answer.
//
// A limit on the whole time of a call cuts off a large answer on a slow or busy
// link. All that has arrived is lost, and if the call is repeated the link stays
// busy with answers of which none arrives whole. The limit of this package is on
// the silence instead: the time to the first byte and the time between two bytes.
//
// # Usage
//
//	ctx, silence := transfer.Limit(ctx, 400*time.Millisecond, 1600*time.Millisecond)
//	defer silence.Stop()
//	response, err := client.Do(request.WithContext(ctx))
//	...
//	body, err := io.ReadAll(silence.Reader(response.Body))
//
// net/http returns the cause of the context's end, which here is a
// context.DeadlineExceeded.
package transfer

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Silence ends a call when no byte of its answer arrives for a time.
type Silence struct {
	cancel  context.CancelCauseFunc
	between time.Duration
	timer   *time.Timer
}

// Limit returns a context that ends when the first byte takes longer than first, or a
// later one longer than between. The time begins at once. Call Stop when the call is
// over.
func Limit(ctx context.Context, first, between time.Duration) (context.Context, *Silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Silence{cancel: cancel, between: between}
	s.timer = time.AfterFunc(first, func() {
		cancel(fmt.Errorf("no byte arrived in time: %w", context.DeadlineExceeded))
	})
	return ctx, s
}

// Reader returns a reader of the answer. Each byte that it reads ends the silence.
func (s *Silence) Reader(answer io.Reader) io.Reader { return &reader{silence: s, answer: answer} }

// Stop releases the resources of the Silence and ends its context.
func (s *Silence) Stop() {
	s.timer.Stop()
	s.cancel(context.Canceled)
}

type reader struct {
	silence *Silence
	answer  io.Reader
}

// Read reads from the answer and restarts the limit, unless it has run out, if a byte
// arrived.
func (r *reader) Read(into []byte) (int, error) {
	count, err := r.answer.Read(into)
	if count > 0 && r.silence.timer.Stop() {
		r.silence.timer.Reset(r.silence.between)
	}
	return count, err
}
