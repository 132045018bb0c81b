// Package journal is the client of the platform's append-only log. It groups
// records into batches to limit the number of appends, retries an append after
// a lost response without writing it twice, and follows the log from an offset.
//
// # Usage
//
//	client := journal.New(journal.Options{Address: address})
//	ended := client.Start(ctx)
//	record, err := journal.NewRecord(journal.KindJobAccepted, "node-3", time.Now(), job)
//	results, err := client.Append(record) // ErrBufferFull if the log can't keep up
//	result := <-results
//
//	follower := client.Follow(ctx, offset)
//	for delivery := range follower.Deliveries {
//		// Handle delivery.Lost first, then delivery.Entries in offset order.
//	}
//	err = <-follower.Ended
//
// An append without a response is retried under the same identity, which is that
// of the batch and not Record.Identity. The log stores a batch of the same identity
// only once. Client.States reports whether the log is up, slow or down.
package journal

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// Kind determines the type of a record's body.
type Kind string

// The kinds of records.
const (
	KindPolicyChange Kind = "policy-change"
	KindJobAccepted  Kind = "job-accepted"
	KindJobEnded     Kind = "job-ended"
	KindSnapshot     Kind = "snapshot"
)

// MaxRecordBytes is the largest size of an encoded record. It allows for a job's
// payload, which is at most 1 MiB.
const MaxRecordBytes = 2 << 20

// Record is a typed record of the log.
type Record struct {
	// Identity is a random UUID that never changes.
	Identity string `cbor:"1,keyasint"`
	Kind     Kind   `cbor:"2,keyasint"`
	// Writer is the name of the node that created the record, and Time when it did.
	Writer string    `cbor:"3,keyasint"`
	Time   time.Time `cbor:"4,keyasint"`
	// Body is the CBOR encoding of the type that Kind determines.
	Body cbor.RawMessage `cbor:"5,keyasint"`
}

// encodeMode keeps the nanoseconds of times, which the default mode drops.
var encodeMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// NewRecord returns a record with a new identity and the body encoded as CBOR.
// It fails if the body can't be encoded.
func NewRecord(kind Kind, writer string, now time.Time, body any) (Record, error) {
	encoded, err := encodeMode.Marshal(body)
	if err != nil {
		return Record{}, fmt.Errorf("encode the body of a %s record: %w", kind, err)
	}
	return Record{Identity: uuid.NewString(), Kind: kind, Writer: writer, Time: now, Body: encoded}, nil
}

// Decode decodes the body into a pointer to the type that the kind determines.
// It fails if the body is not valid CBOR for that type.
func (r *Record) Decode(body any) error {
	if err := cbor.Unmarshal(r.Body, body); err != nil {
		return fmt.Errorf("decode the body of %s record %s: %w", r.Kind, r.Identity, err)
	}
	return nil
}

func (r *Record) encode() ([]byte, error) {
	encoded, err := encodeMode.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode %s record %s: %w", r.Kind, r.Identity, err)
	}
	if len(encoded) > MaxRecordBytes {
		return nil, fmt.Errorf("%s record %s has %d bytes, more than %d", r.Kind, r.Identity, len(encoded), MaxRecordBytes)
	}
	return encoded, nil
}

func decodeRecord(data []byte) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(data, &record); err != nil {
		return Record{}, fmt.Errorf("decode a record: %w", err)
	}
	if record.Identity == "" || record.Kind == "" {
		return record, fmt.Errorf("decode a record: it has no identity or no kind")
	}
	return record, nil
}
