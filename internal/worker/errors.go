package worker

import (
	"fmt"
	"time"
)

// RefusedError is a call that the worker refused; nothing was done.
type RefusedError struct {
	Code    RefusalCode
	Message string
}

// Error returns the code and the worker's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker refused the call (%s): %s", e.Code, e.Message)
}

// HeldError is an open call that was refused because another holder's session
// is live. Until is by the local clock.
type HeldError struct {
	Holder    string
	ExpiresAt time.Time
}

// Error returns the holder and the end of its session.
func (e *HeldError) Error() string {
	return fmt.Sprintf("worker is held by %q until %s", e.Holder, e.ExpiresAt.Format(time.RFC3339Nano))
}

// TokenError is a call with a token that is not the worker's newest; nothing
// was done.
type TokenError struct {
	Used, Newest Token
}

// Error returns both tokens.
func (e *TokenError) Error() string {
	return fmt.Sprintf("session token %d is too old: the newest is %d", e.Used, e.Newest)
}

// NotSentError is a call of which no byte left this process.
type NotSentError struct {
	Err error
}

// Error returns the cause.
func (e *NotSentError) Error() string { return "call to worker was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// OutcomeUnknownError is a call that may have taken effect: its bytes may have
// left, and no valid answer came.
type OutcomeUnknownError struct {
	Err error
}

// Error returns the cause.
func (e *OutcomeUnknownError) Error() string {
	return "outcome of call to worker is unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
