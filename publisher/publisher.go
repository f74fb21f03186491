package publisher

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"carobthread"
	"carobthread/parser"
)

// indexAttempts limits the attempts to merge a ticket into a value of the index that other operators write concurrently.
const indexAttempts = 5

// ErrRevisionConflict reports that another operator has written a value since it was read.
var ErrRevisionConflict = errors.New("value was replaced by another operator")

// Store is the platform with write access.
type Store interface {
	carobthread.Platform
	// Replace writes a value if its revision is still the given one, else it returns ErrRevisionConflict. Revision 0 stands
	// for a key without a value.
	Replace(ctx context.Context, key string, revision uint64, content []byte) error
}

// Result is the outcome of a submission.
type Result struct {
	Ticket uint64 `json:"ticket"`
	// Changed reports whether this submission has published or completed the ticket.
	Changed bool `json:"changed"`
	// Reason explains why nothing has changed.
	Reason string `json:"reason,omitempty"`
}

// submission is a ticket with the platform's state of its objects.
type submission struct {
	file   string
	ticket carobthread.Ticket
	store  Store
	index  index
	// revisions maps the keys of the objects to the current revisions of their values.
	revisions map[string]uint64
}

// Submit validates a ticket file against the platform's objects and publishes it. For invalid input, the error is
// carobthread.Findings.
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
	reason, err := submission.checkPublished(ctx)
	if err != nil || reason != "" {
		return Result{Ticket: ticket.Number, Reason: reason}, err
	}
	if err := submission.publish(ctx); err != nil {
		return Result{Ticket: ticket.Number}, err
	}
	return Result{Ticket: ticket.Number, Changed: true}, nil
}

// LoadKnownObjects reads the platform's index and returns a function that reports whether it lists an object.
func LoadKnownObjects(ctx context.Context, store Store) (func(id carobthread.ObjectID) bool, error) {
	index, err := readIndex(ctx, store)
	if err != nil {
		return nil, err
	}
	return func(id carobthread.ObjectID) bool { return index.numbers[id] > 0 }, nil
}

// checkPublished returns the reason if the ticket would change nothing, and findings as the error if its number is
// already used for different content.
func (submission *submission) checkPublished(ctx context.Context) (string, error) {
	number := submission.ticket.Number
	indexed := true
	reason := ""
	for _, value := range parser.EncodeTicket(&submission.ticket) {
		id := carobthread.ObjectID(value.Key[len(parser.ObjectPrefix):])
		current, err := submission.current(ctx, value.Key)
		if err != nil {
			return "", err
		}
		latest := max(current.Object.Ticket, submission.index.numbers[id])
		if latest > number && reason == "" {
			reason = fmt.Sprintf("%s is already at ticket %d", id, latest)
		}
		if current.Object.Ticket == number && string(parser.EncodeObject(&current)) != string(value.Content) {
			return "", submission.finding("ticket %d is already published with other content or another list for %s", number, id)
		}
		indexed = indexed && submission.index.isVisible(id, number)
	}
	if err := submission.checkNumber(); err != nil {
		return "", err
	}
	if reason == "" && indexed {
		reason = fmt.Sprintf("ticket %d is already published", number)
	}
	return reason, nil
}

// checkNumber returns an error if the index lists objects outside the ticket under the ticket's number.
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

// current returns the published version of an object on the platform; a missing or malformed one gives the zero value.
func (submission *submission) current(ctx context.Context, key string) (parser.PublishedObject, error) {
	value, err := readOptional(ctx, submission.store, key)
	if err != nil || value.Revision == 0 {
		return parser.PublishedObject{}, err
	}
	submission.revisions[key] = value.Revision
	published, findings := parser.DecodeObject(key, value.Content)
	if len(findings) > 0 {
		return parser.PublishedObject{}, nil
	}
	return published, nil
}

// publish writes the objects, then the buckets of the index and last its top value.
func (submission *submission) publish(ctx context.Context) error {
	for _, value := range parser.EncodeTicket(&submission.ticket) {
		if err := submission.store.Replace(ctx, value.Key, submission.revisions[value.Key], value.Content); err != nil {
			return fmt.Errorf("ticket %d is not completely published, submit it again: %w", submission.ticket.Number, err)
		}
	}
	for _, bucket := range parser.BucketsOf(&submission.ticket) {
		if err := submission.retryOnConflict(func() error { return submission.writeBucket(ctx, bucket) }); err != nil {
			return err
		}
	}
	return submission.retryOnConflict(func() error { return submission.writeTop(ctx) })
}

// retryOnConflict repeats a write to the index that conflicts with another operator's write.
func (submission *submission) retryOnConflict(write func() error) error {
	err := ErrRevisionConflict
	for attempt := 0; attempt < indexAttempts && errors.Is(err, ErrRevisionConflict); attempt++ {
		err = write()
	}
	if err != nil {
		return fmt.Errorf("ticket %d is not in the index, submit it again: %w", submission.ticket.Number, err)
	}
	return nil
}

// readOptional reads a value; for a key that does not exist, it returns one with revision 0.
func readOptional(ctx context.Context, store Store, key string) (carobthread.Value, error) {
	value, err := store.Read(ctx, key)
	var failure *carobthread.PlatformError
	if errors.As(err, &failure) && failure.Missing {
		return carobthread.Value{Key: key}, nil
	}
	return value, err
}
