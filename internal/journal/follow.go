package journal

import "context"

// Entry is a record with its offset in the log.
type Entry struct {
	Offset int64
	Record Record
	// DecodeErr is set if the record could not be decoded. The follower continues
	// after it, because one unreadable record must not hide all later ones.
	DecodeErr error
}

// Gap is the half-open range of offsets [From, To) whose records were deleted by
// retention before they were read.
type Gap struct {
	From, To int64
}

// Delivery is the result of one read of the log.
type Delivery struct {
	// Lost is set if records before Entries were deleted unread. The reader's
	// state is then incomplete until it has loaded a snapshot.
	Lost    *Gap
	Entries []Entry
	// Next is the offset of the first record after this delivery.
	Next int64
	// CaughtUp is set if the delivery reaches the end of the log as of the read.
	CaughtUp bool
}

// Follower reads the log in the background.
type Follower struct {
	// Deliveries are in the order of the log. The channel is closed when the
	// follower ends.
	Deliveries <-chan Delivery
	// Ended receives the context's error after the last delivery.
	Ended <-chan error
}

// Follow delivers the records from the given offset on until the context ends.
// It doesn't read ahead: the next read starts after the delivery was received.
// Failed reads are retried with a random exponential delay. A delivery without
// entries is made when CaughtUp changes, so that the reader learns of the end of
// an empty log too.
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
	retry := c.newBackoff()
	caughtUp := false
	for {
		start := c.options.Now()
		response, err := c.read(ctx, from)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.health.observeRead(start, c.options.Now(), err)
		if err != nil {
			if sleep(ctx, retry.nextDelay()) != nil {
				return ctx.Err()
			}
			continue
		}
		retry.failures = 0
		delivery := newDelivery(from, response)
		if len(delivery.Entries) > 0 || delivery.Lost != nil || delivery.CaughtUp != caughtUp {
			select {
			case deliveries <- delivery:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		from, caughtUp = delivery.Next, delivery.CaughtUp
		if !caughtUp && sleep(ctx, retry.uniform(maxCatchUpPause)) != nil {
			return ctx.Err()
		}
	}
}

func newDelivery(from int64, response readResponse) Delivery {
	delivery := Delivery{Next: response.From + int64(len(response.Records))}
	if response.From > from {
		delivery.Lost = &Gap{From: from, To: response.From}
	}
	for i, data := range response.Records {
		record, err := decodeRecord(data)
		delivery.Entries = append(delivery.Entries, Entry{Offset: response.From + int64(i), Record: record, DecodeErr: err})
	}
	delivery.CaughtUp = delivery.Next >= response.End
	return delivery
}
