package publisher

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"carobthread"
	"carobthread/parser"
)

// indexAttempts bounds how often a value of the index is merged again because another operator has written it.
const indexAttempts = 5

// ErrReplaced says that another operator has written a value since it was read.
var ErrReplaced = errors.New("value was replaced by another operator")

// Store is the operators' side of the platform.
type Store interface {
	carobthread.Platform
	// Replace writes a value if its revision is still the given one, 0 for a key without a value, else it returns ErrReplaced.
	Replace(ctx context.Context, key string, revision uint64, content []byte) error
}

// Result is the outcome of a submission.
type Result struct {
	Ticket uint64 `json:"ticket"`
	// Changed says that the ticket was published or completed now.
	Changed bool `json:"changed"`
	// Reason says why nothing has changed.
	Reason string `json:"reason,omitempty"`
}

// submission is one ticket with what the platform holds of its objects.
type submission struct {
	file   string
	ticket carobthread.Ticket
	store  Store
	index  index
	// revisions are those of the objects' present values.
	revisions map[string]uint64
}

// Submit checks a ticket file against the platform's objects and publishes it; bad input gives carobthread.Findings.
func Submit(ctx context.Context, store Store, file string, content []byte) (Result, error) {
	index, err := readIndex(ctx, store)
	if err != nil {
		return Result{}, err
	}
	ticket, findings := parser.TicketIn(file, content, func(id carobthread.ObjectID) bool { return index.numbers[id] > 0 })
	if len(findings) > 0 {
		return Result{}, findings
	}
	submission := &submission{file: file, ticket: ticket, store: store, index: index, revisions: map[string]uint64{}}
	reason, err := submission.compare(ctx)
	if err != nil || reason != "" {
		return Result{Ticket: ticket.Number, Reason: reason}, err
	}
	if err := submission.publish(ctx); err != nil {
		return Result{Ticket: ticket.Number}, err
	}
	return Result{Ticket: ticket.Number, Changed: true}, nil
}

// Known returns a function that reports whether the platform's index names an object.
func Known(ctx context.Context, store Store) (func(id carobthread.ObjectID) bool, error) {
	index, err := readIndex(ctx, store)
	if err != nil {
		return nil, err
	}
	return func(id carobthread.ObjectID) bool { return index.numbers[id] > 0 }, nil
}

// compare returns why the ticket would change nothing, or findings when its number is taken by other content.
func (submission *submission) compare(ctx context.Context) (string, error) {
	number := submission.ticket.Number
	indexed := true
	reason := ""
	for _, value := range parser.Publish(&submission.ticket) {
		id := carobthread.ObjectID(value.Key[len(parser.ObjectPrefix):])
		present, err := submission.present(ctx, value.Key)
		if err != nil {
			return "", err
		}
		held := max(present.Object.Ticket, submission.index.numbers[id])
		if held > number && reason == "" {
			reason = fmt.Sprintf("%s is already at ticket %d", id, held)
		}
		if present.Object.Ticket == number && string(parser.EncodeObject(&present)) != string(value.Content) {
			return "", submission.finding("ticket %d is already published with other content or another list for %s", number, id)
		}
		indexed = indexed && submission.index.shows(id, number)
	}
	if err := submission.checkNumber(); err != nil {
		return "", err
	}
	if reason == "" && indexed {
		reason = fmt.Sprintf("ticket %d is already published", number)
	}
	return reason, nil
}

// checkNumber refuses a number under which the index holds objects of another ticket.
func (submission *submission) checkNumber() error {
	others := []carobthread.ObjectID{}
	for id, number := range submission.index.numbers {
		listed := slices.ContainsFunc(submission.ticket.Objects, func(object carobthread.Object) bool { return object.ID == id })
		if number == submission.ticket.Number && !listed {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return nil
	}
	return submission.finding("ticket %d is already published with other objects, such as %s", submission.ticket.Number, slices.Min(others))
}

func (submission *submission) finding(format string, arguments ...any) error {
	return carobthread.Findings{{File: submission.file, Line: 1, Column: 1, Message: fmt.Sprintf(format, arguments...)}}
}

// present returns the published form of an object that the platform holds; one that cannot be read counts as none.
func (submission *submission) present(ctx context.Context, key string) (parser.Published, error) {
	value, err := readOrNone(ctx, submission.store, key)
	if err != nil || value.Revision == 0 {
		return parser.Published{}, err
	}
	submission.revisions[key] = value.Revision
	published, findings := parser.DecodeObject(key, value.Content)
	if len(findings) > 0 {
		return parser.Published{}, nil
	}
	return published, nil
}

// publish writes the objects, then the buckets of the index and then its top value.
func (submission *submission) publish(ctx context.Context) error {
	for _, value := range parser.Publish(&submission.ticket) {
		if err := submission.store.Replace(ctx, value.Key, submission.revisions[value.Key], value.Content); err != nil {
			return fmt.Errorf("ticket %d is not published as a whole, submit it again: %w", submission.ticket.Number, err)
		}
	}
	for _, bucket := range parser.BucketsOf(&submission.ticket) {
		if err := submission.merge(func() error { return submission.writeBucket(ctx, bucket) }); err != nil {
			return err
		}
	}
	return submission.merge(func() error { return submission.writeTop(ctx) })
}

// merge repeats a write that another operator's write has overtaken.
func (submission *submission) merge(write func() error) error {
	err := ErrReplaced
	for attempt := 0; attempt < indexAttempts && errors.Is(err, ErrReplaced); attempt++ {
		err = write()
	}
	if err != nil {
		return fmt.Errorf("ticket %d is not in the index, submit it again: %w", submission.ticket.Number, err)
	}
	return nil
}

// readOrNone returns a value with revision 0 for a key that does not exist.
func readOrNone(ctx context.Context, store Store, key string) (carobthread.Value, error) {
	value, err := store.Read(ctx, key)
	var failure *carobthread.PlatformError
	if errors.As(err, &failure) && failure.Missing {
		return carobthread.Value{Key: key}, nil
	}
	return value, err
}
