package bencher

import (
	_ "embed"
	"fmt"
	"slices"

	"gopkg.in/ini.v1"
)

//go:embed bounds.ini
var embeddedBounds []byte //nolint:gochecknoglobals // go:embed needs a package variable

// Names in a bounds file that select several scenarios or faults.
const (
	allScenarios = "all"
	singleFault  = "single"
	anyFault     = "any"
)

// Bound sets limits on the results of the current policy in some scenarios under some faults.
type Bound struct {
	Name      string
	Scenarios []string
	Faults    []string
	// DeadlineMedians, if not 0, replaces the deadlines of the scenarios by this many median latencies.
	DeadlineMedians float64
	Limits          []Limit
}

// Limit is the maximum value of a measure.
type Limit struct {
	Measure string
	Value   float64
}

// Bounds is the content of a bounds file.
type Bounds struct {
	Seeds  []uint64
	Bounds []Bound
}

// measures maps the keys of a bounds file to functions that compute the measure. The baseline is nil unless a bound of the
// run compares with it.
func measures() map[string]func(result, baseline *Result) float64 {
	return map[string]func(result, baseline *Result) float64{
		"p99-ms":      func(result, _ *Result) float64 { return float64(result.P99Micros) / 1000 },
		"extra-share": func(result, _ *Result) float64 { return result.ExtraShare },
		"avoidable-partial": func(result, _ *Result) float64 {
			return float64(result.AvoidablePartial)
		},
		"refusals": func(result, _ *Result) float64 { return float64(result.Refusals) },
		"broken":   func(result, _ *Result) float64 { return float64(result.BrokenTotal) },
		p99ToBaseline: func(result, baseline *Result) float64 {
			return float64(result.P99Micros) / float64(max(1, baseline.P99Micros))
		},
	}
}

// p99ToBaseline is the only measure that needs a run of the wait-for-all baseline.
const p99ToBaseline = "p99-to-baseline"

// DefaultBounds returns the embedded bounds, which are the targets of the design.
func DefaultBounds() (*Bounds, error) { return ParseBounds(embeddedBounds) }

// ParseBounds reads a bounds file.
func ParseBounds(content []byte) (*Bounds, error) {
	file, err := ini.Load(content)
	if err != nil {
		return nil, fmt.Errorf("parse bounds: %w", err)
	}
	bounds := &Bounds{}
	for _, section := range file.Sections() {
		switch section.Name() {
		case ini.DefaultSection:
		case "check":
			bounds.Seeds = section.Key("seeds").Uint64s(",")
		default:
			bound, err := parseBound(section)
			if err != nil {
				return nil, err
			}
			bounds.Bounds = append(bounds.Bounds, bound)
		}
	}
	if len(bounds.Seeds) == 0 {
		return nil, fmt.Errorf("parse bounds: section check: no seeds")
	}
	return bounds, nil
}

func parseBound(section *ini.Section) (Bound, error) {
	bound := Bound{Name: section.Name()}
	for _, key := range section.Keys() {
		if err := bound.set(key); err != nil {
			return bound, fmt.Errorf("parse bounds: section %s: %w", bound.Name, err)
		}
	}
	return bound, bound.validate()
}

func (bound *Bound) set(key *ini.Key) error {
	switch key.Name() {
	case "scenarios":
		bound.Scenarios = key.Strings(",")
		return nil
	case "faults":
		bound.Faults = key.Strings(",")
		return nil
	}
	value, err := key.Float64()
	if err != nil {
		return fmt.Errorf("key %s: %w", key.Name(), err)
	}
	if key.Name() == "deadline-medians" {
		bound.DeadlineMedians = value
		return nil
	}
	if measures()[key.Name()] == nil {
		return fmt.Errorf("unknown key %q", key.Name())
	}
	bound.Limits = append(bound.Limits, Limit{Measure: key.Name(), Value: value})
	return nil
}

// validate rejects unknown names and incomplete bounds, since a bound that matches no run would never be checked.
func (bound *Bound) validate() error {
	for _, name := range bound.Scenarios {
		if _, known := FindScenario(name); !known && name != allScenarios {
			return fmt.Errorf("parse bounds: section %s: unknown scenario %q", bound.Name, name)
		}
	}
	for _, name := range bound.Faults {
		if name == singleFault || name == anyFault {
			continue
		}
		if _, err := ParseFaults(name); err != nil {
			return fmt.Errorf("parse bounds: section %s: %w", bound.Name, err)
		}
	}
	if len(bound.Scenarios) == 0 || len(bound.Faults) == 0 || len(bound.Limits) == 0 {
		return fmt.Errorf("parse bounds: section %s: scenarios, faults and a limit are required", bound.Name)
	}
	return nil
}

// appliesTo reports whether the bound applies to a run.
func (bound *Bound) appliesTo(run Run) bool {
	if !slices.Contains(bound.Scenarios, allScenarios) && !slices.Contains(bound.Scenarios, run.Scenario.Name) {
		return false
	}
	// A bound for any fault applies to every deadline.
	if run.DeadlineMedians != bound.DeadlineMedians && !slices.Contains(bound.Faults, anyFault) {
		return false
	}
	faults := run.Faults
	return slices.ContainsFunc(bound.Faults, func(name string) bool {
		return name == anyFault || name == singleFault && len(faults) == 1 || name == FaultNames(faults)
	})
}
