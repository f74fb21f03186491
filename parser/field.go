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

// A section is parsed with a list of fields: each field names a key, states
// whether it is required, and converts its value into a struct member. A key
// without a field is reported as unknown. A struct holds the defaults before it
// is filled. Strings are cloned into structs, because a substring would keep the
// whole file in memory, which for a published object with a long object list is
// many times the size of the object.

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

// read converts the entries of a section with the given fields and reports missing keys, invalid values and unknown keys.
func (doc *document) read(current *section, fields ...field) {
	for _, field := range fields {
		keyEntry := current.entry(field.name)
		if keyEntry == nil {
			if field.required {
				doc.report(current.pos, "section [%s] lacks the key %q", current.name, field.name)
			}
			continue
		}
		doc.convert(keyEntry, field.convert)
	}
	for _, keyEntry := range current.entries {
		known := slices.ContainsFunc(fields, func(field field) bool { return field.name == keyEntry.name })
		if !known {
			doc.report(keyEntry.pos, "unknown key %q in section [%s]", keyEntry.name, current.name)
		}
	}
}

func (doc *document) convert(keyEntry *entry, convert converter) {
	if keyEntry.invalid {
		return
	}
	if keyEntry.value.Value() == "" {
		doc.report(keyEntry.valuePos, "%s: value is empty", keyEntry.name)
		return
	}
	if err := convert(keyEntry.value); err != nil {
		doc.report(keyEntry.valuePos, "%s: %v", keyEntry.name, err)
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

// checkName accepts names that are valid within a section header, a list and a platform key.
func checkName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("name has %d bytes, the limit is %d", len(name), maxNameLength)
	}
	if !isName(name) {
		return fmt.Errorf("malformed name %q, names have letters, digits, '-', '_' and '.' after a letter or digit", name)
	}
	return nil
}

// isName reports whether a name is well-formed. A leading dot is rejected because it could be resolved as a relative
// path in the platform's URLs.
func isName(name string) bool {
	if name == "" || name[0] == '-' || name[0] == '_' || name[0] == '.' {
		return false
	}
	for _, char := range name {
		if !isNameRune(char) {
			return false
		}
	}
	return true
}

// oneOf accepts any of the given words.
func oneOf[Word ~string](target *Word, words ...Word) converter {
	return func(value *ini.Key) error {
		known := slices.Index(words, Word(value.Value()))
		if known < 0 {
			return fmt.Errorf("%q is not one of %v", value.Value(), words)
		}
		*target = words[known]
		return nil
	}
}

func boolean(target *bool) converter {
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

func integer[Number int | uint32 | uint64](target *Number, minValue, maxValue Number) converter {
	return func(value *ini.Key) error {
		number, err := strconv.ParseUint(value.Value(), 10, 64)
		if errors.Is(err, strconv.ErrRange) || err == nil && (number < uint64(minValue) || number > uint64(maxValue)) {
			return fmt.Errorf("%s is out of range, allowed are %d to %d", value.Value(), minValue, maxValue)
		}
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value.Value())
		}
		*target = Number(number)
		return nil
	}
}

func duration(target *time.Duration, minValue, maxValue time.Duration) converter {
	return func(value *ini.Key) error {
		parsed, err := value.Duration()
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit, such as 80ms", value.Value())
		}
		if parsed < minValue || parsed > maxValue {
			return fmt.Errorf("%s is out of range, allowed are %s to %s", value.Value(), minValue, maxValue)
		}
		*target = parsed
		return nil
	}
}

// roundedDown accepts a decimal number for a value that is applied as a whole one.
func roundedDown(target *int, minValue, maxValue int) converter {
	return func(value *ini.Key) error {
		number, err := parseDecimal(value.Value())
		if err != nil {
			return fmt.Errorf("%q is not a number", value.Value())
		}
		if number < float64(minValue) || number > float64(maxValue) {
			return fmt.Errorf("%s is out of range, allowed are %d to %d", value.Value(), minValue, maxValue)
		}
		*target = int(number)
		return nil
	}
}

// parseDecimal parses a number without a sign, with or without a fraction.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}

// sizeUnits returns the units of sizes, longest suffix first because every suffix ends in B.
func sizeUnits() []struct {
	suffix string
	factor int
} {
	return []struct {
		suffix string
		factor int
	}{{"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}
}

func size(target *int, minValue, maxValue int) converter {
	return func(value *ini.Key) error {
		for _, unit := range sizeUnits() {
			digits, found := strings.CutSuffix(value.Value(), unit.suffix)
			if !found {
				continue
			}
			number, err := parseDecimal(strings.TrimSpace(digits))
			if err != nil {
				break
			}
			bytes := number * float64(unit.factor)
			if bytes > float64(maxValue) || bytes < float64(minValue) {
				return fmt.Errorf("%s is out of range, allowed are %s to %s", value.Value(), formatSize(minValue), formatSize(maxValue))
			}
			*target = int(bytes)
			return nil
		}
		return fmt.Errorf("%q is not a size in B, KB or MB, such as 64KB", value.Value())
	}
}

// bandwidth accepts a number of megabits per second, such as 26Mbps, and stores bits per second.
func bandwidth(target *float64, maxMbps float64) converter {
	const bitsPerMegabit = 1e6
	return func(value *ini.Key) error {
		digits, found := strings.CutSuffix(value.Value(), "Mbps")
		megabits, err := parseDecimal(strings.TrimSpace(digits))
		if !found || err != nil {
			return fmt.Errorf("%q is not a bandwidth in Mbps, such as 26Mbps", value.Value())
		}
		if megabits > maxMbps {
			return fmt.Errorf("%s is out of range, allowed are 0Mbps to %gMbps", value.Value(), maxMbps)
		}
		*target = megabits * bitsPerMegabit
		return nil
	}
}

// formatSize formats a size in the largest unit that divides it.
func formatSize(bytes int) string {
	for _, unit := range sizeUnits() {
		if bytes >= unit.factor && bytes%unit.factor == 0 {
			return strconv.Itoa(bytes/unit.factor) + unit.suffix
		}
	}
	return strconv.Itoa(bytes) + "B"
}

// share accepts a ratio written as a number or a percentage, such as 0.9 or 90%.
func share(target *float64, minValue, maxValue float64) converter {
	return func(value *ini.Key) error {
		digits, percent := strings.CutSuffix(value.Value(), "%")
		fraction, err := strconv.ParseFloat(digits, 64)
		if err != nil || math.IsNaN(fraction) {
			return fmt.Errorf("%q is not a share, such as 0.9 or 90%%", value.Value())
		}
		if percent {
			fraction /= 100
		}
		if fraction < minValue || fraction > maxValue {
			return fmt.Errorf("%s is out of range, allowed are %g to %g", value.Value(), minValue, maxValue)
		}
		*target = fraction
		return nil
	}
}

// address accepts IP:PORT; DNS names are rejected because the tier runs without a resolver.
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

// listenAddress accepts IP:PORT, including port 0, for which the operating system chooses a free port.
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

// list accepts distinct items separated by commas; check validates each item.
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

// duplicate returns an item that occurs twice. Published lists are sorted and are checked without allocating a map.
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

// sortFindings sorts findings by position in the file.
func sortFindings(findings carobthread.Findings) carobthread.Findings {
	slices.SortStableFunc(findings, func(left, right carobthread.Finding) int {
		if left.Line != right.Line {
			return left.Line - right.Line
		}
		return left.Column - right.Column
	})
	return findings
}
