//go:build !linux

package timer

import "time"

// suspendedSinceBoot returns 0, since only Linux has a clock that counts suspension.
func suspendedSinceBoot() time.Duration { return 0 }
