package publisher

import (
	"context"
	"fmt"

	"carobthread"
	"carobthread/parser"
)

// The top value is written after the buckets whose hashes it holds, and a
// publisher reads the buckets again after reading the top value that it
// replaces. The last writer of the top value has therefore read every bucket
// whose writer has finished, so no operator's write hides the lines of another.

// index is the content of the platform's index.
type index struct {
	numbers map[carobthread.ObjectID]uint64
	// mismatched holds the buckets whose content does not match the hash in the top value, as after an interrupted submission.
	mismatched map[int]bool
}

// isVisible reports whether readers that start from the top value find the object with this ticket number.
func (index *index) isVisible(id carobthread.ObjectID, number uint64) bool {
	return index.numbers[id] == number && !index.mismatched[parser.BucketOf(id)]
}

// readIndex reads all buckets that the top value lists; the index is empty if there is no top value.
func readIndex(ctx context.Context, store Store) (index, error) {
	result := index{numbers: map[carobthread.ObjectID]uint64{}, mismatched: map[int]bool{}}
	top, _, err := readTop(ctx, store)
	if err != nil {
		return result, err
	}
	for bucket, hash := range top.Buckets {
		lines, _, err := readBucket(ctx, store, bucket)
		if err != nil {
			return result, err
		}
		for id, number := range lines.TicketNumbers {
			result.numbers[id] = number
		}
		result.mismatched[bucket] = lines.Hash() != hash
	}
	return result, nil
}

// writeBucket merges the ticket into the current content of a bucket.
func (submission *submission) writeBucket(ctx context.Context, bucket int) error {
	top, _, err := readTop(ctx, submission.store)
	if err != nil {
		return err
	}
	lines, revision, err := readBucket(ctx, submission.store, bucket)
	if err != nil {
		return err
	}
	lines.Add(&submission.ticket, bucket, top.Revision)
	return submission.store.Replace(ctx, parser.BucketKey(bucket), revision, parser.EncodeIndex(&lines))
}

// writeTop merges the ticket and the current content of its buckets into the top value.
func (submission *submission) writeTop(ctx context.Context) error {
	top, revision, err := readTop(ctx, submission.store)
	if err != nil {
		return err
	}
	buckets := map[int]parser.Index{}
	for _, bucket := range parser.BucketsOf(&submission.ticket) {
		lines, _, err := readBucket(ctx, submission.store, bucket)
		if err != nil {
			return err
		}
		buckets[bucket] = lines
	}
	top.Add(&submission.ticket, buckets)
	return submission.store.Replace(ctx, parser.IndexKey, revision, parser.EncodeIndexTop(&top))
}

// readTop returns the top value and its revision; if the key does not exist, it returns an empty one with revision 0.
func readTop(ctx context.Context, store Store) (parser.IndexTop, uint64, error) {
	value, err := readOptional(ctx, store, parser.IndexKey)
	if err != nil || value.Revision == 0 {
		return parser.NewIndexTop(), 0, err
	}
	top, findings := parser.DecodeIndexTop(parser.IndexKey, value.Content)
	if len(findings) > 0 {
		return parser.IndexTop{}, 0, fmt.Errorf("the platform's index is malformed: %w", findings)
	}
	return top, value.Revision, nil
}

// readBucket returns a bucket and its revision; if the key does not exist, it returns an empty one with revision 0.
func readBucket(ctx context.Context, store Store, bucket int) (parser.Index, uint64, error) {
	key := parser.BucketKey(bucket)
	value, err := readOptional(ctx, store, key)
	if err != nil || value.Revision == 0 {
		return parser.Index{TicketNumbers: map[carobthread.ObjectID]uint64{}}, 0, err
	}
	lines, findings := parser.DecodeIndex(key, value.Content)
	if len(findings) > 0 {
		return parser.Index{}, 0, fmt.Errorf("the platform's index is malformed: %w", findings)
	}
	return lines, value.Revision, nil
}
