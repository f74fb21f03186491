package recorder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"carobthread"
)

const (
	// maxLine bounds a line in bytes; the longest one holds a whole configuration.
	maxLine = 16 << 20
	// maxFindings bounds the findings of one file.
	maxFindings = 100
)

// reader collects the steps and findings of one file.
type reader struct {
	trace    *Trace
	findings carobthread.Findings
	line     int
	headed   bool
	// open says that the last step may still get its actions.
	open bool
}

// Read reads a trace; malformed content gives carobthread.Findings with all faults, up to a bound.
func Read(file string, input io.Reader) (*Trace, error) {
	reader := &reader{trace: &Trace{File: file}}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() && len(reader.findings) < maxFindings {
		reader.line++
		reader.read(scanner.Bytes())
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		reader.line++
		reader.find(1, "line is longer than %d bytes", maxLine)
	} else if err != nil {
		return nil, fmt.Errorf("read trace %s: %w", file, err)
	}
	if !reader.headed && len(reader.findings) == 0 {
		reader.line = 1
		reader.find(1, "no header")
	}
	if len(reader.findings) > 0 {
		return nil, reader.findings
	}
	return reader.trace, nil
}

func (reader *reader) find(column int, format string, arguments ...any) {
	reader.findings = append(reader.findings, carobthread.Finding{
		File:    reader.trace.File,
		Line:    reader.line,
		Column:  column,
		Message: fmt.Sprintf(format, arguments...),
	})
}

func (reader *reader) read(content []byte) {
	line, column, err := decode(content)
	if err != nil {
		reader.find(column, "%s", err)
		return
	}
	if !reader.headed {
		reader.readHeader(line)
		return
	}
	switch {
	case line.Header != nil:
		reader.find(1, "second header")
	case line.Event != nil:
		reader.trace.Steps = append(reader.trace.Steps, Step{Line: reader.line, Event: *line.Event})
		reader.open = true
	case !reader.open:
		reader.find(1, "actions without an event")
	default:
		reader.trace.Steps[len(reader.trace.Steps)-1].Actions = line.Actions
		reader.open = false
	}
}

// readHeader takes the first well-formed line, so that a missing header is reported once.
func (reader *reader) readHeader(line *record) {
	reader.headed = true
	if line.Header == nil {
		reader.find(1, "no header")
		return
	}
	if line.Header.Format != FormatVersion {
		reader.find(1, "format version %d is not supported, want %d", line.Header.Format, FormatVersion)
	}
	reader.trace.Header = *line.Header
}

// decode parses one line; the column of an error counts bytes from 1.
func decode(content []byte) (*record, int, error) {
	if len(bytes.TrimSpace(content)) == 0 {
		return nil, 1, errors.New("empty line")
	}
	line := &record{}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(line); err != nil {
		return nil, errorColumn(content, err), cleanError(err)
	}
	end := int(decoder.InputOffset())
	if rest := bytes.TrimLeft(content[end:], " \t\r"); len(rest) > 0 {
		return nil, len(content) - len(rest) + 1, errors.New("data after the value")
	}
	if err := line.validate(); err != nil {
		return nil, 1, err
	}
	return line, 0, nil
}

const unknownField = "unknown field "

func errorColumn(content []byte, err error) int {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return max(1, int(syntax.Offset))
	case errors.As(err, &kind):
		return max(1, int(kind.Offset))
	case errors.Is(err, io.ErrUnexpectedEOF):
		return len(content) + 1
	}
	// encoding/json states no offset for an unknown field, only its quoted name.
	if _, name, found := strings.Cut(err.Error(), unknownField); found {
		return max(0, bytes.Index(content, []byte(name))) + 1
	}
	return 1
}

func cleanError(err error) error {
	return errors.New(strings.TrimPrefix(err.Error(), "json: "))
}
