package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Story is what the logs tell of one request, and what its host believed meanwhile.
type Story struct {
	Request string
	// Tries are the ends of the request on each host that it came to, in the order of the files.
	Tries []Try
}

// Try is one arrival of the request at a host.
type Try struct {
	Host string `json:"host"`
	// Beliefs are the last lines of each kind that changed what the host believed before the request ended.
	Beliefs []Line `json:"beliefs"`
	// Decisions are the lines of the request in their order.
	Decisions []Line `json:"decisions"`
}

// Line is one line of a log.
type Line struct {
	Time   string         `json:"time"`
	Event  string         `json:"event"`
	Fields map[string]any `json:"fields"`
}

// Reader collects the story of one request from logs.
type Reader struct {
	request string
	// hosts holds the lines of each host as far as they may matter.
	hosts map[string]*Try
	story Story
}

// NewReader returns a reader for the request with that ID.
func NewReader(request string) *Reader {
	return &Reader{request: request, hosts: map[string]*Try{}, story: Story{Request: request}}
}

// Read takes the lines of one log; what stands before the first brace of a line, such as a collector's prefix, is ignored.
func (reader *Reader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, content, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		var fields map[string]any
		if !found || decode(append([]byte("{"), content...), &fields) != nil {
			continue
		}
		reader.take(fields)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// decode keeps numbers as they are written.
func decode(content []byte, fields *map[string]any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	return decoder.Decode(fields)
}

func (reader *Reader) take(fields map[string]any) {
	host, _ := fields["host"].(string)
	event, _ := fields["event"].(string)
	time, _ := fields["time"].(string)
	request, ofRequest := fields["request"].(string)
	if event == "" || ofRequest && request != reader.request {
		return
	}
	try := reader.hosts[host]
	if try == nil {
		try = &Try{Host: host}
		reader.hosts[host] = try
	}
	for _, known := range []string{"host", "event", "time", "level", "message", "request"} {
		delete(fields, known)
	}
	line := Line{Time: time, Event: event, Fields: fields}
	if !ofRequest {
		try.believe(line)
		return
	}
	try.Decisions = append(try.Decisions, line)
	if event == "request-ended" {
		reader.story.Tries = append(reader.story.Tries, Try{
			Host: host, Beliefs: slices.Clone(try.Beliefs), Decisions: slices.Clone(try.Decisions),
		})
		try.Decisions = nil
	}
}

// believe keeps the last line of each kind.
func (try *Try) believe(line Line) {
	try.Beliefs = slices.DeleteFunc(try.Beliefs, func(held Line) bool { return held.Event == line.Event })
	try.Beliefs = append(try.Beliefs, line)
}

// Story returns what has been read.
func (reader *Reader) Story() Story { return reader.story }

// Write prints the story for a person to read.
func (story *Story) Write(output io.Writer) error {
	text := strings.Builder{}
	for _, try := range story.Tries {
		fmt.Fprintf(&text, "request %s at %s\n", story.Request, try.Host)
		text.WriteString("  what the host believed:\n")
		for _, line := range try.Beliefs {
			fmt.Fprintf(&text, "    %s %s%s\n", line.Time, line.Event, formatFields(line.Fields))
		}
		text.WriteString("  what it decided:\n")
		for _, line := range try.Decisions {
			fmt.Fprintf(&text, "    %s%s\n", line.Event, formatFields(line.Fields))
		}
	}
	_, err := io.WriteString(output, text.String())
	return err
}

func formatFields(fields map[string]any) string {
	text := strings.Builder{}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fields[name]
		if value == "" || value == nil {
			continue
		}
		switch value.(type) {
		case map[string]any, []any:
			content, err := json.Marshal(value)
			if err != nil {
				content = []byte(err.Error())
			}
			fmt.Fprintf(&text, " %s=%s", name, content)
		default:
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	return text.String()
}
