package tracker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

const markFieldCount = 3

// Mark is the last observation that a searcher is leaving or draining, or that it accepts work again. The latest
// observation wins.
type Mark struct {
	Searcher string
	At       carobthread.Instant
	Leaving  bool
}

// supersedes reports whether the mark replaces the current one. Leaving wins between marks of the same time.
func (mark Mark) supersedes(current Mark) bool {
	return mark.At > current.At || mark.At == current.At && mark.Leaving && !current.Leaving
}

func (mark Mark) sum() uint64 {
	text, _ := mark.MarshalText()
	return xxhash.Sum64(text)
}

// MarshalText encodes the mark as one line of fields.
func (mark Mark) MarshalText() ([]byte, error) {
	flag := "-"
	if mark.Leaving {
		flag = leavingFlag
	}
	return []byte(mark.Searcher + " " + strconv.FormatInt(int64(mark.At), numberBase) + " " + flag), nil
}

// UnmarshalText decodes the format that MarshalText writes.
func (mark *Mark) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) != markFieldCount || fields[0] == "" || fields[2] != "-" && fields[2] != leavingFlag {
		return fmt.Errorf("searcher mark %q: expected a name, a time and a leaving flag", text)
	}
	at, err := strconv.ParseInt(fields[1], numberBase, 64)
	if err != nil {
		return fmt.Errorf("searcher mark %q: %w", text, err)
	}
	*mark = Mark{Searcher: fields[0], At: carobthread.Instant(at), Leaving: fields[2] == leavingFlag}
	return nil
}
