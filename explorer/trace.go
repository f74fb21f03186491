package explorer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"carobthread"
)

// Format is the version of the trace format.
const Format = "carobthread-schedule/1"

// Header holds the parameters of one schedule.
type Header struct {
	Format    string `json:"format"`
	Seed      uint64 `json:"seed"`
	Schedule  int    `json:"schedule"`
	Hosts     int    `json:"hosts"`
	Upstreams int    `json:"upstreams"`
	Callers   int    `json:"callers"`
	MaxKeys   int    `json:"max-keys"`
	Slots     int    `json:"slots"`
	// FaultWeight is the share of faults among the random steps in percent.
	FaultWeight int `json:"fault-weight"`
}

// StepKind states what a step does.
type StepKind string

// Kinds of steps.
const (
	StepDeliver   StepKind = "deliver"
	StepDrop      StepKind = "drop"
	StepDuplicate StepKind = "duplicate"
	StepMisroute  StepKind = "misroute"
	StepCall      StepKind = "call"
	StepAdvance   StepKind = "advance"
	StepTick      StepKind = "tick"
	StepCrash     StepKind = "crash"
	StepRestart   StepKind = "restart"
	StepPause     StepKind = "pause"
	StepWake      StepKind = "wake"
	StepClock     StepKind = "clock"
	StepView      StepKind = "view"
	StepStop      StepKind = "stop"
	StepUpstream  StepKind = "upstream"
)

// Step is a step of a schedule. A step that is not possible in the current state has no effect.
type Step struct {
	Kind    StepKind `json:"step"`
	Message int      `json:"message,omitempty"`
	// Other is, in a misroute step, a message of the request to whose host the answer goes. In an outcome query, it selects
	// one of all keys of the caller, counted from 1, or the current key if it is 0.
	Other  int    `json:"other,omitempty"`
	Host   int    `json:"host,omitempty"`
	Caller int    `json:"caller,omitempty"`
	Call   string `json:"call,omitempty"`
	// Micros is a time in microseconds: the time that passes, the new offset of a host's clock or the new lag of an
	// upstream's clock.
	Micros int64 `json:"us,omitempty"`
	// Upstream is the upstream that changes to Mode. A stop step with mode draining refuses reservations only.
	Upstream int    `json:"upstream,omitempty"`
	Mode     string `json:"mode,omitempty"`
}

// Trace is a recorded schedule that can be replayed.
type Trace struct {
	Header Header
	Steps  []Step
}

// Write writes the trace as JSON lines.
func (trace *Trace) Write(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	if err := encoder.Encode(trace.Header); err != nil {
		return fmt.Errorf("write trace header: %w", err)
	}
	for _, step := range trace.Steps {
		if err := encoder.Encode(step); err != nil {
			return fmt.Errorf("write trace step: %w", err)
		}
	}
	return nil
}

// Limits on the size of the simulation that a trace describes.
const (
	maxHosts     = 4
	maxUpstreams = 3
	maxCallers   = 8
)

// ReadTrace reads a trace. Malformed content is returned as carobthread.Findings with all errors and their lines.
func ReadTrace(file string, reader io.Reader) (*Trace, error) {
	trace := &Trace{}
	var findings carobthread.Findings
	scanner := bufio.NewScanner(reader)
	line := 0
	for scanner.Scan() {
		line++
		if err := trace.readLine(line, scanner.Bytes()); err != nil {
			findings = append(findings, carobthread.Finding{File: file, Line: line, Column: 1, Message: err.Error()})
			if line == 1 {
				return nil, findings // steps cannot be checked without a header
			}
		}
	}
	if err := scanner.Err(); err != nil {
		findings = append(findings, carobthread.Finding{File: file, Line: line + 1, Column: 1, Message: err.Error()})
	}
	if line == 0 {
		findings = append(findings, carobthread.Finding{File: file, Line: 1, Column: 1, Message: "missing header"})
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return trace, nil
}

func (trace *Trace) readLine(line int, text []byte) error {
	if line == 1 {
		if err := decode(text, &trace.Header); err != nil {
			return err
		}
		return trace.Header.validate()
	}
	var step Step
	if err := decode(text, &step); err != nil {
		return err
	}
	trace.Steps = append(trace.Steps, step)
	return trace.Header.validateStep(&step)
}

func decode(text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func (header *Header) validate() error {
	switch {
	case header.Format != Format:
		return fmt.Errorf("unsupported trace format %q, want %q", header.Format, Format)
	case header.Hosts < 1 || header.Hosts > maxHosts:
		return fmt.Errorf("hosts must be 1 to %d", maxHosts)
	case header.Upstreams < 1 || header.Upstreams > maxUpstreams:
		return fmt.Errorf("upstreams must be 1 to %d", maxUpstreams)
	case header.Callers < 1 || header.Callers > maxCallers:
		return fmt.Errorf("callers must be 1 to %d", maxCallers)
	default:
		return nil
	}
}

func (header *Header) validateStep(step *Step) error {
	switch {
	case !slices.Contains(stepKinds(), step.Kind):
		return fmt.Errorf("unknown step kind %q", step.Kind)
	case step.Host < 0 || step.Host >= header.Hosts:
		return fmt.Errorf("host %d does not exist", step.Host)
	case step.Upstream < 0 || step.Upstream >= header.Upstreams:
		return fmt.Errorf("upstream %d does not exist", step.Upstream)
	case step.Caller < 0 || step.Caller >= header.Callers:
		return fmt.Errorf("caller %d does not exist", step.Caller)
	default:
		return nil
	}
}

func stepKinds() []StepKind {
	return []StepKind{
		StepDeliver, StepDrop, StepDuplicate, StepMisroute, StepCall, StepAdvance, StepTick, StepCrash,
		StepRestart, StepPause, StepWake, StepClock, StepView, StepStop, StepUpstream,
	}
}
