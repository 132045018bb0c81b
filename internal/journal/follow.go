package journal

import "context"

// Entry is a record at its place in the log.
type Entry struct {
	Offset int64
	Record Record
	// DecodeErr is set when the record could not be decoded. The follower goes on
	// behind it, because one unreadable record must not hide all later ones.
	DecodeErr error
}

// Gap is a range of offsets, from From to before To, that retention dropped
// before they were read.
type Gap struct {
	From, To int64
}

// Delivery is what one read of the log brought.
type Delivery struct {
	// Lost is set when records in front of Entries were dropped. The reader's
	// state is then incomplete until it has taken over a snapshot.
	Lost    *Gap
	Entries []Entry
	// Next is the offset to follow from after this delivery.
	Next int64
	// CaughtUp is set when the delivery reaches the end that the log had.
	CaughtUp bool
}

// Follower reads the log in the background.
type Follower struct {
	// Deliveries are in the order of the log. It is closed at the end.
	Deliveries <-chan Delivery
	// Ended gets the context's error after the last delivery.
	Ended <-chan error
}

// Follow delivers the records from an offset on until the context ends. It
// reads no further while a delivery has not been taken. The first delivery
// that reaches the end of the log is made even if it has no entries.
func (c *Client) Follow(ctx context.Context, from int64) *Follower {
	deliveries := make(chan Delivery)
	ended := make(chan error, 1)
	go func() {
		err := c.runFollower(ctx, from, deliveries)
		close(deliveries)
		ended <- err
	}()
	return &Follower{Deliveries: deliveries, Ended: ended}
}

func (c *Client) runFollower(ctx context.Context, from int64, deliveries chan<- Delivery) error {
	delays := c.newBackoff()
	caughtUp := false
	for {
		start := c.options.Now()
		answer, err := c.read(ctx, from)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.health.observeRead(start, c.options.Now(), err)
		if err != nil {
			if sleep(ctx, delays.nextDelay()) != nil {
				return ctx.Err()
			}
			continue
		}
		delays.failures = 0
		delivery := newDelivery(from, answer)
		if len(delivery.Entries) > 0 || delivery.Lost != nil || delivery.CaughtUp != caughtUp {
			select {
			case deliveries <- delivery:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		from, caughtUp = delivery.Next, delivery.CaughtUp
		if !caughtUp && sleep(ctx, delays.uniform(maxCatchUpPause)) != nil {
			return ctx.Err()
		}
	}
}

func newDelivery(from int64, answer readResponse) Delivery {
	delivery := Delivery{Next: answer.From + int64(len(answer.Records))}
	if answer.From > from {
		delivery.Lost = &Gap{From: from, To: answer.From}
	}
	for i, data := range answer.Records {
		record, err := decodeRecord(data)
		delivery.Entries = append(delivery.Entries, Entry{Offset: answer.From + int64(i), Record: record, DecodeErr: err})
	}
	delivery.CaughtUp = delivery.Next >= answer.End
	return delivery
}
