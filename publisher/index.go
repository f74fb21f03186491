package publisher

import (
	"context"
	"fmt"

	"carobthread"
	"carobthread/parser"
)

// The top value is written after the buckets that it names, and a publisher
// reads the buckets again after the top value that it replaces. Whoever writes
// the top value last has therefore seen every bucket whose writer is done, so
// no write of one operator hides another one's lines.

// index is the platform's index as the operators' side reads it.
type index struct {
	numbers map[carobthread.ObjectID]uint64
	// unnamed are the buckets whose content is not the one that the top value names, as after a tool that ended half-way.
	unnamed map[int]bool
}

// shows reports whether readers that follow the top value find the object with this number.
func (index *index) shows(id carobthread.ObjectID, number uint64) bool {
	return index.numbers[id] == number && !index.unnamed[parser.BucketOf(id)]
}

// readIndex returns the lines of all buckets that the top value names; without a top value it is empty.
func readIndex(ctx context.Context, store Store) (index, error) {
	read := index{numbers: map[carobthread.ObjectID]uint64{}, unnamed: map[int]bool{}}
	top, _, err := readTop(ctx, store)
	if err != nil {
		return read, err
	}
	for bucket, hash := range top.Buckets {
		lines, _, err := readBucket(ctx, store, bucket)
		if err != nil {
			return read, err
		}
		for id, number := range lines.Numbers {
			read.numbers[id] = number
		}
		read.unnamed[bucket] = lines.Hash() != hash
	}
	return read, nil
}

// writeBucket merges the ticket into a bucket of the index as it is now.
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

// writeTop merges the ticket and the present content of its buckets into the top value.
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
	return submission.store.Replace(ctx, parser.IndexKey, revision, parser.EncodeTop(&top))
}

// readTop returns the top value with the revision of its value; without one it is empty.
func readTop(ctx context.Context, store Store) (parser.Top, uint64, error) {
	value, err := readOrNone(ctx, store, parser.IndexKey)
	if err != nil || value.Revision == 0 {
		return parser.NewTop(), 0, err
	}
	top, findings := parser.DecodeTop(parser.IndexKey, value.Content)
	if len(findings) > 0 {
		return parser.Top{}, 0, fmt.Errorf("the platform's index is malformed: %w", findings)
	}
	return top, value.Revision, nil
}

// readBucket returns a bucket with the revision of its value; without one it is empty.
func readBucket(ctx context.Context, store Store, bucket int) (parser.Index, uint64, error) {
	key := parser.BucketKey(bucket)
	value, err := readOrNone(ctx, store, key)
	if err != nil || value.Revision == 0 {
		return parser.Index{Numbers: map[carobthread.ObjectID]uint64{}}, 0, err
	}
	lines, findings := parser.DecodeIndex(key, value.Content)
	if len(findings) > 0 {
		return parser.Index{}, 0, fmt.Errorf("the platform's index is malformed: %w", findings)
	}
	return lines, value.Revision, nil
}
