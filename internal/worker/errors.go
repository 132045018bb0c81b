package worker

import (
	"fmt"
	"time"
)

// RefusedError is the error of a call that the worker refused. The call had no
// effect.
type RefusedError struct {
	Code    RefusalCode
	Message string
}

// Error returns the code and the worker's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker refused the call (%s): %s", e.Code, e.Message)
}

// HeldError is the error of a call to open a session while another holder has a
// session. The call had no effect.
type HeldError struct {
	Holder string
	// ExpiresAt is when the holder's session ends by the local clock.
	ExpiresAt time.Time
}

// Error returns the holder and the end of its session.
func (e *HeldError) Error() string {
	return fmt.Sprintf("worker is held by %q until %s", e.Holder, e.ExpiresAt.Format(time.RFC3339Nano))
}

// TokenError is the error of a call with a token that is not the worker's newest.
// The call had no effect.
type TokenError struct {
	Used, Newest Token
}

// Error returns both tokens.
func (e *TokenError) Error() string {
	return fmt.Sprintf("session token %d is too old: the newest is %d", e.Used, e.Newest)
}

// NotSentError is the error of a call of which this process sent no byte.
type NotSentError struct {
	Err error
}

// Error returns the cause.
func (e *NotSentError) Error() string { return "call to worker was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// OutcomeUnknownError is the error of a call that may have had an effect: it may
// have been sent, and no valid response arrived.
type OutcomeUnknownError struct {
	Err error
}

// Error returns the cause.
func (e *OutcomeUnknownError) Error() string {
	return "outcome of call to worker is unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
