package placement

// MaxReused bounds each list of records that are kept for reuse. Reuse leaves
// less garbage: with 100,000 waiting tasks the collector took a large part of
// the time of a placement.
const MaxReused = 4096

// reused keeps the records of ended work for new work. A record that is given
// back may still be read until the present call of the engine returns.
type reused[T any] struct {
	records []*T
}

func (u *reused[T]) take() *T {
	last := len(u.records) - 1
	if last < 0 {
		return new(T)
	}
	record := u.records[last]
	u.records = u.records[:last]
	var zero T
	*record = zero
	return record
}

func (u *reused[T]) give(record *T) {
	if len(u.records) < MaxReused {
		u.records = append(u.records, record)
	}
}
