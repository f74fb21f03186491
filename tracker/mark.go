package tracker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

const markFields = 3

// Mark states that a searcher was seen leaving or draining, or that it was seen back; the later one counts.
type Mark struct {
	Searcher string
	At       carobthread.Instant
	Leaving  bool
}

// replaces reports whether the mark takes the place of the held one; of the same time, leaving wins.
func (mark Mark) replaces(held Mark) bool {
	return mark.At > held.At || mark.At == held.At && mark.Leaving && !held.Leaving
}

func (mark Mark) sum() uint64 {
	text, _ := mark.MarshalText()
	return xxhash.Sum64(text)
}

// MarshalText writes the mark as one line of fields.
func (mark Mark) MarshalText() ([]byte, error) {
	flag := "-"
	if mark.Leaving {
		flag = leavingFlag
	}
	return []byte(mark.Searcher + " " + strconv.FormatInt(int64(mark.At), numberBase) + " " + flag), nil
}

// UnmarshalText reads the form that MarshalText writes.
func (mark *Mark) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) != markFields || fields[0] == "" || fields[2] != "-" && fields[2] != leavingFlag {
		return fmt.Errorf("searcher mark %q: expected name, time and flag", text)
	}
	at, err := strconv.ParseInt(fields[1], numberBase, 64)
	if err != nil {
		return fmt.Errorf("searcher mark %q: %w", text, err)
	}
	*mark = Mark{Searcher: fields[0], At: carobthread.Instant(at), Leaving: fields[2] == leavingFlag}
	return nil
}
