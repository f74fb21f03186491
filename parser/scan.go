package parser

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"carobthread"
)

// gopkg.in/ini.v1 keeps no positions, so the scanner finds sections and keys
// with their places and ini.v1 holds and converts the values. A line with a
// fault is reported and left out, so that the rest of the file is still checked.

// MaxSize is the limit of a file and of a platform value in bytes.
const MaxSize = 1 << 20

// maxFindings bounds the report on a file that is not INI at all.
const maxFindings = 1000

// place is a position in a file; both numbers count from 1, columns in bytes.
type place struct {
	line   int
	column int
}

// entry is one key of a section.
type entry struct {
	name  string
	at    place
	value *ini.Key
	// valueAt is the place of the value's first byte.
	valueAt place
	// refused says that the value has a reported fault and is not converted.
	refused bool
}

// section is one section with its keys in file order.
type section struct {
	name    string
	at      place
	entries []*entry
	values  *ini.Section
}

// document is a scanned file and the findings collected so far.
type document struct {
	file     string
	sections []*section
	values   *ini.File
	findings carobthread.Findings
	// unread says that the file was too large to be scanned, so that nothing can be said to be missing.
	unread bool
}

func (doc *document) report(at place, format string, arguments ...any) {
	if len(doc.findings) >= maxFindings {
		return
	}
	doc.findings = append(doc.findings, carobthread.Finding{
		File:    doc.file,
		Line:    at.line,
		Column:  at.column,
		Message: fmt.Sprintf(format, arguments...),
	})
}

// scan splits a file into sections and keys and reports every line that is neither.
func scan(file string, content []byte) *document {
	doc := &document{
		file: file,
		// The delimiter of child sections cannot occur in a name: ini.v1 would let [searcher a.b] inherit from [searcher a].
		values: ini.Empty(ini.LoadOptions{ChildSectionDelimiter: "\x00"}),
	}
	if len(content) > MaxSize {
		doc.report(place{1, 1}, "file has %d bytes, the limit is %d", len(content), MaxSize)
		doc.unread = true
		return doc
	}
	var current *section
	skipping := false
	for i, text := range strings.Split(string(content), "\n") {
		body := strings.TrimSpace(text)
		at := place{i + 1, 1 + strings.Index(text, body)}
		switch {
		case body == "" || body[0] == '#' || body[0] == ';':
		case !printable(body):
			doc.report(at, "line has bytes that are not printable UTF-8")
		case body[0] == '[':
			current = doc.header(at, body)
			skipping = current == nil
		case current != nil:
			doc.key(current, at, body)
		case !skipping:
			doc.report(at, "key before the first section")
			skipping = true
		}
	}
	return doc
}

func printable(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(char rune) bool {
		return char < ' ' && char != '\t' || char == 0x7f || char == 0xfeff
	})
}

// header opens a section; it returns nil when the header has a fault, so that the section's keys are skipped.
func (doc *document) header(at place, body string) *section {
	name := strings.TrimSuffix(body[1:], "]")
	if len(name) != len(body)-2 || strings.ContainsAny(name, "[]") {
		doc.report(at, "malformed section header %q", body)
		return nil
	}
	if name == "" || name != strings.Join(strings.Fields(name), " ") {
		doc.report(at, "section header must hold words separated by single spaces")
		return nil
	}
	if earlier := doc.section(name); earlier != nil {
		doc.report(at, "duplicate section [%s], first on line %d", name, earlier.at.line)
		return nil
	}
	values, err := doc.values.NewSection(name)
	if err != nil {
		doc.report(at, "section [%s]: %v", name, err)
		return nil
	}
	opened := &section{name: name, at: at, values: values}
	doc.sections = append(doc.sections, opened)
	return opened
}

func (doc *document) key(current *section, at place, body string) {
	left, right, found := strings.Cut(body, "=")
	if !found {
		doc.report(at, "expected key = value")
		return
	}
	name := strings.TrimSpace(left)
	value := strings.TrimSpace(right)
	valueAt := place{at.line, at.column + len(left) + 1}
	if value != "" {
		valueAt.column += strings.Index(right, value)
	}
	if !isKey(name) {
		doc.report(at, "malformed key %q, keys are kebab case", name)
		return
	}
	if earlier := current.entry(name); earlier != nil {
		doc.report(at, "duplicate key %q, first on line %d", name, earlier.at.line)
		return
	}
	fault := valueFault(value)
	if fault != "" {
		doc.report(valueAt, "%s: %s", name, fault)
	}
	held, err := current.values.NewKey(name, value)
	if err != nil {
		doc.report(at, "%s: %v", name, err)
		return
	}
	current.entries = append(current.entries, &entry{name: name, at: at, value: held, valueAt: valueAt, refused: fault != ""})
}

// valueFault refuses text that other INI readers would read as quotes, comments or references.
func valueFault(value string) string {
	switch {
	case strings.ContainsAny(value, "\"`"):
		return "quotes are not supported"
	case strings.Contains(value, " #") || strings.Contains(value, " ;"):
		return "a comment must stand on a line of its own"
	case strings.Contains(value, "%("):
		return "references to other keys are not supported"
	default:
		return ""
	}
}

// isKey accepts kebab case and, for the lines of the index, object ids.
func isKey(name string) bool {
	if name == "" || !lowerLetter(name[0]) {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool {
		return !nameRune(char) && char != '/'
	})
}

func lowerLetter(char byte) bool { return char >= 'a' && char <= 'z' }

func nameRune(char rune) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || char == '-' || char == '_' || char == '.'
}

// demand reports each of the named sections that the file lacks.
func (doc *document) demand(names ...string) {
	for _, name := range names {
		if !doc.unread && doc.section(name) == nil {
			doc.report(place{1, 1}, "section [%s] is missing", name)
		}
	}
}

func (doc *document) section(name string) *section {
	// A scanned section is registered in ini.v1 under its name, which is the cheaper test for a new one.
	if !doc.values.HasSection(name) {
		return nil
	}
	for _, candidate := range doc.sections {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}

func (current *section) entry(name string) *entry {
	if !current.values.HasKey(name) {
		return nil
	}
	for _, candidate := range current.entries {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}
