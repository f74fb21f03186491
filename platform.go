package carobthread

import "context"

// Value is one value of the platform's configuration service.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Content  []byte `json:"content"`
}

// Platform is a read-only client of the platform's configuration service.
type Platform interface {
	// Read returns the value of a key; a key that does not exist gives a *PlatformError with Missing set.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the revision of a key differs from the given one and returns the value. If the service responds
	// after some time that the key has not changed, the value has the given revision and no content.
	Watch(ctx context.Context, key string, revision uint64) (Value, error)
}

// PlatformError is a failed call to the platform's configuration service.
type PlatformError struct {
	Key     string
	Missing bool
	// RateLimited is set if the service refused the call because of its rate limit.
	RateLimited bool
	Cause       error
}

var _ error = (*PlatformError)(nil)

// Error formats the failure with its key.
func (failure *PlatformError) Error() string {
	switch {
	case failure.Missing:
		return "platform: key " + failure.Key + " does not exist"
	case failure.RateLimited:
		return "platform: key " + failure.Key + ": call rate limit reached"
	case failure.Cause != nil:
		return "platform: key " + failure.Key + ": " + failure.Cause.Error()
	default:
		return "platform: key " + failure.Key + ": failed"
	}
}

// Unwrap returns the cause.
func (failure *PlatformError) Unwrap() error { return failure.Cause }
