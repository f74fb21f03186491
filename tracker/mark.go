package tracker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

const markFieldCount = 3

// SearcherMark is the last observation that a searcher is leaving or draining, or that it accepts work again. The latest
// observation wins.
type SearcherMark struct {
	Searcher string
	At       carobthread.Instant
	Leaving  bool
}

// supersedes reports whether the mark replaces the current one. Leaving wins between marks of the same time.
func (mark SearcherMark) supersedes(current SearcherMark) bool {
	return mark.At > current.At || mark.At == current.At && mark.Leaving && !current.Leaving
}

func (mark SearcherMark) sum() uint64 {
	text, _ := mark.MarshalText()
	return xxhash.Sum64(text)
}

// MarshalText encodes the mark as one line of fields.
func (mark SearcherMark) MarshalText() ([]byte, error) {
	flag := "-"
	if mark.Leaving {
		flag = leavingFlag
	}
	return []byte(mark.Searcher + " " + strconv.FormatInt(int64(mark.At), numberBase) + " " + flag), nil
}

// UnmarshalText decodes the format that MarshalText writes.
func (mark *SearcherMark) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) != markFieldCount || fields[0] == "" || fields[2] != "-" && fields[2] != leavingFlag {
		return fmt.Errorf("searcher mark %q: expected a name, a time and a leaving flag", text)
	}
	at, err := strconv.ParseInt(fields[1], numberBase, 64)
	if err != nil {
		return fmt.Errorf("searcher mark %q: %w", text, err)
	}
	*mark = SearcherMark{Searcher: fields[0], At: carobthread.Instant(at), Leaving: fields[2] == leavingFlag}
	return nil
}
