package placement

// MaxPooled is the largest number of records that each pool keeps. Reuse
// reduces garbage: with 100,000 waiting tasks, garbage collection took a large
// part of the time of a placement.
const MaxPooled = 4096

// pool keeps the records of ended work for reuse. A record that was put back
// may still be read until the current call of the engine returns.
type pool[T any] struct {
	free []*T
}

func (p *pool[T]) get() *T {
	last := len(p.free) - 1
	if last < 0 {
		return new(T)
	}
	record := p.free[last]
	p.free = p.free[:last]
	var zero T
	*record = zero
	return record
}

func (p *pool[T]) put(record *T) {
	if len(p.free) < MaxPooled {
		p.free = append(p.free, record)
	}
}
