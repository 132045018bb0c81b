package placement

// Cancel removes a waiting task and reports whether it was waiting. It takes
// constant time. A gang whose member was cancelled is incomplete and waits
// until a task with that index is enqueued again.
func (e *Engine) Cancel(id TaskID) bool {
	en := e.waiting[id]
	if en == nil {
		return false
	}
	e.removeWaiting(en)
	return true
}
