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
	// maxLineBytes limits the length of a line; the longest lines hold a whole configuration.
	maxLineBytes = 16 << 20
	// maxFindings limits the findings reported for one file.
	maxFindings = 100
)

// reader collects the steps and findings of one file.
type reader struct {
	trace      *Trace
	findings   carobthread.Findings
	line       int
	headerRead bool
	// acceptsActions is set while the next line may hold the actions of the last step.
	acceptsActions bool
}

// Read reads a trace. Malformed content is returned as carobthread.Findings, up to maxFindings of them.
func Read(file string, input io.Reader) (*Trace, error) {
	reader := &reader{trace: &Trace{File: file}}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() && len(reader.findings) < maxFindings {
		reader.line++
		reader.readLine(scanner.Bytes())
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		reader.line++
		reader.addFinding(1, "line is longer than %d bytes", maxLineBytes)
	} else if err != nil {
		return nil, fmt.Errorf("read trace %s: %w", file, err)
	}
	if !reader.headerRead && len(reader.findings) == 0 {
		reader.line = 1
		reader.addFinding(1, "no header")
	}
	if len(reader.findings) > 0 {
		return nil, reader.findings
	}
	return reader.trace, nil
}

func (reader *reader) addFinding(column int, format string, arguments ...any) {
	reader.findings = append(reader.findings, carobthread.Finding{
		File:    reader.trace.File,
		Line:    reader.line,
		Column:  column,
		Message: fmt.Sprintf(format, arguments...),
	})
}

func (reader *reader) readLine(content []byte) {
	line, column, err := decode(content)
	if err != nil {
		reader.addFinding(column, "%s", err)
		return
	}
	if !reader.headerRead {
		reader.readHeader(line)
		return
	}
	switch {
	case line.Header != nil:
		reader.addFinding(1, "second header")
	case line.Event != nil:
		reader.trace.Steps = append(reader.trace.Steps, Step{Line: reader.line, Event: *line.Event})
		reader.acceptsActions = true
	case !reader.acceptsActions:
		reader.addFinding(1, "actions without an event")
	default:
		reader.trace.Steps[len(reader.trace.Steps)-1].Actions = line.Actions
		reader.acceptsActions = false
	}
}

// readHeader handles the first well-formed line, whether or not it is a header, so that a missing header is reported
// only once.
func (reader *reader) readHeader(line *record) {
	reader.headerRead = true
	if line.Header == nil {
		reader.addFinding(1, "no header")
		return
	}
	if line.Header.Format != FormatVersion {
		reader.addFinding(1, "format version %d is not supported, want %d", line.Header.Format, FormatVersion)
	}
	reader.trace.Header = *line.Header
}

// decode parses a line. For an error it also returns the column, counted in bytes from 1.
func decode(content []byte) (*record, int, error) {
	if len(bytes.TrimSpace(content)) == 0 {
		return nil, 1, errors.New("empty line")
	}
	line := &record{}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(line); err != nil {
		return nil, errorColumn(content, err), trimJSONPrefix(err)
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

const unknownFieldText = "unknown field "

func errorColumn(content []byte, err error) int {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return max(1, int(syntaxErr.Offset))
	case errors.As(err, &typeErr):
		return max(1, int(typeErr.Offset))
	case errors.Is(err, io.ErrUnexpectedEOF):
		return len(content) + 1
	}
	// encoding/json gives no offset for an unknown field, only its quoted name.
	if _, name, ok := strings.Cut(err.Error(), unknownFieldText); ok {
		return max(0, bytes.Index(content, []byte(name))) + 1
	}
	return 1
}

func trimJSONPrefix(err error) error {
	return errors.New(strings.TrimPrefix(err.Error(), "json: "))
}
