package parser

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"carobthread"
)

// A section is read through a list of fields: each names a key, states
// whether it must be present, and converts its value into a struct. A key that
// no field names is unknown. A struct holds its defaults before it is read.
// Strings are cloned into structs: a substring would keep the whole file in
// memory, which for a published object with a long list is many times its size.

// maxNameLength bounds names of objects, hosts and data centres in bytes.
const maxNameLength = 64

// converter checks a value and stores it.
type converter func(value *ini.Key) error

type field struct {
	name     string
	required bool
	convert  converter
}

func required(name string, convert converter) field { return field{name, true, convert} }

func optional(name string, convert converter) field { return field{name, false, convert} }

// read fills the fields of a section and reports missing keys, bad values and unknown keys.
func (doc *document) read(current *section, fields ...field) {
	for _, field := range fields {
		held := current.entry(field.name)
		if held == nil {
			if field.required {
				doc.report(current.at, "section [%s] lacks the key %q", current.name, field.name)
			}
			continue
		}
		doc.convert(held, field.convert)
	}
	for _, held := range current.entries {
		known := slices.ContainsFunc(fields, func(field field) bool { return field.name == held.name })
		if !known {
			doc.report(held.at, "unknown key %q in section [%s]", held.name, current.name)
		}
	}
}

func (doc *document) convert(held *entry, convert converter) {
	if held.refused {
		return
	}
	if held.value.Value() == "" {
		doc.report(held.valueAt, "%s: value is empty", held.name)
		return
	}
	if err := convert(held.value); err != nil {
		doc.report(held.valueAt, "%s: %v", held.name, err)
	}
}

func text(target *string) converter {
	return func(value *ini.Key) error {
		*target = strings.Clone(value.Value())
		return nil
	}
}

func name(target *string) converter {
	return func(value *ini.Key) error {
		*target = strings.Clone(value.Value())
		return checkName(value.Value())
	}
}

// checkName accepts names that can stand in a section header, a list and a platform key.
func checkName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("name has %d bytes, the limit is %d", len(name), maxNameLength)
	}
	if !isName(name) {
		return fmt.Errorf("malformed name %q, names have letters, digits, '-', '_' and '.' after a letter or digit", name)
	}
	return nil
}

// isName refuses a leading dot above all, which could be taken for a relative path in the platform's URLs.
func isName(name string) bool {
	if name == "" || name[0] == '-' || name[0] == '_' || name[0] == '.' {
		return false
	}
	for _, char := range name {
		if !nameRune(char) {
			return false
		}
	}
	return true
}

// choice accepts one of the given words.
func choice[Word ~string](target *Word, words ...Word) converter {
	return func(value *ini.Key) error {
		known := slices.Index(words, Word(value.Value()))
		if known < 0 {
			return fmt.Errorf("%q is not one of %v", value.Value(), words)
		}
		*target = words[known]
		return nil
	}
}

func flag(target *bool) converter {
	return func(value *ini.Key) error {
		switch value.Value() {
		case "true":
			*target = true
		case "false":
			*target = false
		default:
			return fmt.Errorf("%q is not true or false", value.Value())
		}
		return nil
	}
}

func integer[Number int | uint32 | uint64](target *Number, least, most Number) converter {
	return func(value *ini.Key) error {
		number, err := strconv.ParseUint(value.Value(), 10, 64)
		if errors.Is(err, strconv.ErrRange) || err == nil && (number < uint64(least) || number > uint64(most)) {
			return fmt.Errorf("%s is out of range, allowed are %d to %d", value.Value(), least, most)
		}
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value.Value())
		}
		*target = Number(number)
		return nil
	}
}

func duration(target *time.Duration, least, most time.Duration) converter {
	return func(value *ini.Key) error {
		span, err := value.Duration()
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit, such as 80ms", value.Value())
		}
		if span < least || span > most {
			return fmt.Errorf("%s is out of range, allowed are %s to %s", value.Value(), least, most)
		}
		*target = span
		return nil
	}
}

// sizeUnits are the units of sizes, longest first since each ends in B.
func sizeUnits() []struct {
	suffix string
	factor int
} {
	return []struct {
		suffix string
		factor int
	}{{"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}
}

func size(target *int, least, most int) converter {
	return func(value *ini.Key) error {
		for _, unit := range sizeUnits() {
			digits, found := strings.CutSuffix(value.Value(), unit.suffix)
			if !found {
				continue
			}
			number, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 64)
			if err != nil {
				break
			}
			if number > uint64(most/unit.factor) || int(number)*unit.factor < least {
				return fmt.Errorf("%s is out of range, allowed are %s to %s", value.Value(), formatSize(least), formatSize(most))
			}
			*target = int(number) * unit.factor
			return nil
		}
		return fmt.Errorf("%q is not a size in B, KB or MB, such as 64KB", value.Value())
	}
}

// formatSize writes a size in the greatest unit that divides it.
func formatSize(bytes int) string {
	for _, unit := range sizeUnits() {
		if bytes >= unit.factor && bytes%unit.factor == 0 {
			return strconv.Itoa(bytes/unit.factor) + unit.suffix
		}
	}
	return strconv.Itoa(bytes) + "B"
}

// share accepts a part of one, as 0.9 or 90%.
func share(target *float64, least, most float64) converter {
	return func(value *ini.Key) error {
		digits, percent := strings.CutSuffix(value.Value(), "%")
		part, err := strconv.ParseFloat(digits, 64)
		if err != nil || math.IsNaN(part) {
			return fmt.Errorf("%q is not a share, such as 0.9 or 90%%", value.Value())
		}
		if percent {
			part /= 100
		}
		if part < least || part > most {
			return fmt.Errorf("%s is out of range, allowed are %g to %g", value.Value(), least, most)
		}
		*target = part
		return nil
	}
}

// address accepts IP:PORT; names are refused since the tier runs without a resolver.
func address(target *string) converter {
	return func(value *ini.Key) error {
		parsed, err := netip.ParseAddrPort(value.Value())
		if err != nil {
			return fmt.Errorf("%q is not IP:PORT", value.Value())
		}
		if parsed.Port() == 0 {
			return fmt.Errorf("%q has port 0", value.Value())
		}
		*target = parsed.String()
		return nil
	}
}

// listenAddress accepts IP:PORT with port 0, for which the system chooses a free port.
func listenAddress(target *string) converter {
	return func(value *ini.Key) error {
		parsed, err := netip.ParseAddrPort(value.Value())
		if err != nil {
			return fmt.Errorf("%q is not IP:PORT", value.Value())
		}
		*target = parsed.String()
		return nil
	}
}

// list accepts distinct items separated by commas; check is called with each one.
func list(target *[]string, check func(item string) error) converter {
	return func(value *ini.Key) error {
		items := strings.Split(strings.Clone(value.Value()), ",")
		for i := range items {
			items[i] = strings.TrimSpace(items[i])
			if err := check(items[i]); err != nil {
				return err
			}
		}
		if item, found := duplicate(items); found {
			return fmt.Errorf("%q is listed twice", item)
		}
		*target = items
		return nil
	}
}

// duplicate returns an item that occurs twice; published lists are ordered, which needs no table.
func duplicate(items []string) (string, bool) {
	if slices.IsSorted(items) {
		for i := 1; i < len(items); i++ {
			if items[i] == items[i-1] {
				return items[i], true
			}
		}
		return "", false
	}
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		if seen[item] {
			return item, true
		}
		seen[item] = true
	}
	return "", false
}

// ordered sorts findings by place so that reports follow the file.
func ordered(findings carobthread.Findings) carobthread.Findings {
	slices.SortStableFunc(findings, func(left, right carobthread.Finding) int {
		if left.Line != right.Line {
			return left.Line - right.Line
		}
		return left.Column - right.Column
	})
	return findings
}
