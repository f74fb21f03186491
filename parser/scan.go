package parser

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"carobthread"
)

// gopkg.in/ini.v1 does not record positions, so the scanner locates sections
// and keys, and ini.v1 stores and converts the values. An invalid line is
// reported and skipped, so that the rest of the file is still checked.

// MaxSize is the maximum size of a file and of a platform value in bytes.
const MaxSize = 1 << 20

// maxFindings bounds the number of findings for a file that is not INI at all.
const maxFindings = 1000

// position is a position in a file; line and column count from 1, columns in bytes.
type position struct {
	line   int
	column int
}

// entry is one key-value pair of a section.
type entry struct {
	name  string
	pos   position
	value *ini.Key
	// valuePos is the position of the value's first byte.
	valuePos position
	// invalid is set if an error in the value has been reported, so that the value is not converted.
	invalid bool
}

// section is one section with its entries in file order.
type section struct {
	name    string
	pos     position
	entries []*entry
	values  *ini.Section
}

// document is a scanned file and the findings collected so far.
type document struct {
	file     string
	sections []*section
	values   *ini.File
	findings carobthread.Findings
	// tooLarge is set if the file exceeds MaxSize and was not scanned, so that no section is reported as missing.
	tooLarge bool
}

func (doc *document) report(pos position, format string, arguments ...any) {
	if len(doc.findings) >= maxFindings {
		return
	}
	doc.findings = append(doc.findings, carobthread.Finding{
		File:    doc.file,
		Line:    pos.line,
		Column:  pos.column,
		Message: fmt.Sprintf(format, arguments...),
	})
}

// scan splits a file into sections and entries and reports every line that is neither, nor a comment or blank.
func scan(file string, content []byte) *document {
	doc := &document{
		file: file,
		// The child section delimiter must not occur in names, else ini.v1 would let [searcher a.b] inherit from [searcher a].
		values: ini.Empty(ini.LoadOptions{ChildSectionDelimiter: "\x00"}),
	}
	if len(content) > MaxSize {
		doc.report(position{1, 1}, "file has %d bytes, the limit is %d", len(content), MaxSize)
		doc.tooLarge = true
		return doc
	}
	var current *section
	skipping := false
	for i, line := range strings.Split(string(content), "\n") {
		text := strings.TrimSpace(line)
		pos := position{i + 1, 1 + strings.Index(line, text)}
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case !isPrintable(text):
			doc.report(pos, "line has bytes that are not printable UTF-8")
		case text[0] == '[':
			current = doc.header(pos, text)
			skipping = current == nil
		case current != nil:
			doc.key(current, pos, text)
		case !skipping:
			doc.report(pos, "key before the first section")
			skipping = true
		}
	}
	return doc
}

func isPrintable(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(char rune) bool {
		return char < ' ' && char != '\t' || char == 0x7f || char == 0xfeff
	})
}

// header parses a section header and adds the section; it returns nil for an invalid header, so that the section's keys
// are skipped.
func (doc *document) header(pos position, text string) *section {
	name := strings.TrimSuffix(text[1:], "]")
	if len(name) != len(text)-2 || strings.ContainsAny(name, "[]") {
		doc.report(pos, "malformed section header %q", text)
		return nil
	}
	if name == "" || name != strings.Join(strings.Fields(name), " ") {
		doc.report(pos, "section header must hold words separated by single spaces")
		return nil
	}
	if earlier := doc.section(name); earlier != nil {
		doc.report(pos, "duplicate section [%s], first on line %d", name, earlier.pos.line)
		return nil
	}
	values, err := doc.values.NewSection(name)
	if err != nil {
		doc.report(pos, "section [%s]: %v", name, err)
		return nil
	}
	added := &section{name: name, pos: pos, values: values}
	doc.sections = append(doc.sections, added)
	return added
}

func (doc *document) key(current *section, pos position, text string) {
	left, right, found := strings.Cut(text, "=")
	if !found {
		doc.report(pos, "expected key = value")
		return
	}
	name := strings.TrimSpace(left)
	value := strings.TrimSpace(right)
	valuePos := position{pos.line, pos.column + len(left) + 1}
	if value != "" {
		valuePos.column += strings.Index(right, value)
	}
	if !isKey(name) {
		doc.report(pos, "malformed key %q, keys are kebab case", name)
		return
	}
	if earlier := current.entry(name); earlier != nil {
		doc.report(pos, "duplicate key %q, first on line %d", name, earlier.pos.line)
		return
	}
	unsupported := unsupportedSyntax(value)
	if unsupported != "" {
		doc.report(valuePos, "%s: %s", name, unsupported)
	}
	iniKey, err := current.values.NewKey(name, value)
	if err != nil {
		doc.report(pos, "%s: %v", name, err)
		return
	}
	current.entries = append(current.entries, &entry{name: name, pos: pos, value: iniKey, valuePos: valuePos, invalid: unsupported != ""})
}

// unsupportedSyntax describes the part of a value that other INI parsers would take for quotes, a comment or a
// reference; it returns "" if there is none.
func unsupportedSyntax(value string) string {
	switch {
	case strings.ContainsAny(value, "\"`"):
		return "quotes are not supported"
	case strings.Contains(value, " #") || strings.Contains(value, " ;"):
		return "a comment must be on a line of its own"
	case strings.Contains(value, "%("):
		return "references to other keys are not supported"
	default:
		return ""
	}
}

// isKey accepts kebab case and, for the lines of the index, object IDs.
func isKey(name string) bool {
	if name == "" || !isLowerLetter(name[0]) {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool {
		return !isNameRune(char) && char != '/'
	})
}

func isLowerLetter(char byte) bool { return char >= 'a' && char <= 'z' }

func isNameRune(char rune) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || char == '-' || char == '_' || char == '.'
}

// requireSections reports each of the named sections that is missing from the file.
func (doc *document) requireSections(names ...string) {
	for _, name := range names {
		if !doc.tooLarge && doc.section(name) == nil {
			doc.report(position{1, 1}, "section [%s] is missing", name)
		}
	}
}

func (doc *document) section(name string) *section {
	// Every scanned section is also in ini.v1, whose lookup by name is cheaper than a search when the section is new.
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
