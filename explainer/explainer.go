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

// maxLineSize is the maximum size of a log line in bytes.
const maxLineSize = 1 << 20

// History is what the hosts logged about one request, and the state that they logged before its end.
type History struct {
	Request string
	// HostLogs has one entry for each time that a host ended the request, in the order of the files.
	HostLogs []HostLog
}

// HostLog holds the log lines of one host for one handling of the request.
type HostLog struct {
	Host string `json:"host"`
	// State holds the last line of each event that changed the state of the host before the request ended.
	State []Line `json:"beliefs"`
	// Decisions holds the lines of the request in their order.
	Decisions []Line `json:"decisions"`
}

// Line is one line of a log.
type Line struct {
	Time   string         `json:"time"`
	Event  string         `json:"event"`
	Fields map[string]any `json:"fields"`
}

// Reader collects the history of one request from log files.
type Reader struct {
	request string
	// hosts holds the lines of each host that may belong to the history.
	hosts   map[string]*HostLog
	history History
}

// NewReader returns a reader for the request with the given ID.
func NewReader(request string) *Reader {
	return &Reader{request: request, hosts: map[string]*HostLog{}, history: History{Request: request}}
}

// Read adds the lines of one log; it ignores the text before the first brace of a line, such as a log collector's prefix.
func (reader *Reader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		_, content, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		var fields map[string]any
		if !found || decode(append([]byte("{"), content...), &fields) != nil {
			continue
		}
		reader.add(fields)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// decode decodes a JSON object and keeps numbers in their written form.
func decode(content []byte, fields *map[string]any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	return decoder.Decode(fields)
}

func (reader *Reader) add(fields map[string]any) {
	host, _ := fields["host"].(string)
	event, _ := fields["event"].(string)
	time, _ := fields["time"].(string)
	request, hasRequest := fields["request"].(string)
	if event == "" || hasRequest && request != reader.request {
		return
	}
	hostLog := reader.hosts[host]
	if hostLog == nil {
		hostLog = &HostLog{Host: host}
		reader.hosts[host] = hostLog
	}
	for _, name := range []string{"host", "event", "time", "level", "message", "request"} {
		delete(fields, name)
	}
	line := Line{Time: time, Event: event, Fields: fields}
	if !hasRequest {
		hostLog.updateState(line)
		return
	}
	hostLog.Decisions = append(hostLog.Decisions, line)
	if event == "request-ended" {
		reader.history.HostLogs = append(reader.history.HostLogs, HostLog{
			Host: host, State: slices.Clone(hostLog.State), Decisions: slices.Clone(hostLog.Decisions),
		})
		hostLog.Decisions = nil
	}
}

// updateState keeps the last line of each event.
func (hostLog *HostLog) updateState(line Line) {
	hostLog.State = slices.DeleteFunc(hostLog.State, func(earlier Line) bool { return earlier.Event == line.Event })
	hostLog.State = append(hostLog.State, line)
}

// History returns the history of the request in the logs read so far.
func (reader *Reader) History() History { return reader.history }

// Write prints the history in a readable form.
func (history *History) Write(output io.Writer) error {
	text := strings.Builder{}
	for _, hostLog := range history.HostLogs {
		fmt.Fprintf(&text, "request %s at %s\n", history.Request, hostLog.Host)
		text.WriteString("  what the host believed:\n")
		for _, line := range hostLog.State {
			fmt.Fprintf(&text, "    %s %s%s\n", line.Time, line.Event, formatFields(line.Fields))
		}
		text.WriteString("  what it decided:\n")
		for _, line := range hostLog.Decisions {
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
