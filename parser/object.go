package parser

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"carobthread"
)

// An object has an ID such as layout/matching/3 and a section whose header has
// the same components, such as [layout matching 3]. The section holds the
// complete state of the object: an omitted key takes its default and never
// keeps a value from an earlier ticket.

// Ranges and defaults of object keys, the prefix of shard keys, and the kinds of objects in object IDs.
const (
	maxDeadline              = 10 * time.Minute
	maxInFlight              = 1_000_000
	maxShards                = 65_536
	maxSlots                 = 65_536
	maxConnections           = 65_536
	defaultCoverageFloor     = 0.9
	defaultHedgeQuantile     = 0.95
	defaultExtraAttemptRatio = 0.05
	defaultMaxInFlight       = 1000
	shardPrefix              = "shard-"
	objectKindService        = "service"
	objectKindLayout         = "layout"
	objectKindSearcher       = "searcher"
	minHedgeQuantile         = 0.5
	maxHedgeQuantile         = 0.9999
	minDeadline              = time.Millisecond
)

// ServiceID returns the ID of a service.
func ServiceID(name string) carobthread.ObjectID {
	return carobthread.ObjectID(objectKindService + "/" + name)
}

// LayoutID returns the ID of one layout generation of a service.
func LayoutID(service string, generation uint32) carobthread.ObjectID {
	return carobthread.ObjectID(objectKindLayout + "/" + service + "/" + strconv.FormatUint(uint64(generation), 10))
}

// SearcherID returns the ID of a searcher.
func SearcherID(name string) carobthread.ObjectID {
	return carobthread.ObjectID(objectKindSearcher + "/" + name)
}

// References returns the IDs of the objects that must exist for an object to be valid, in the order of its keys.
func References(object *carobthread.Object) []carobthread.ObjectID {
	switch {
	case object.Service != nil:
		if object.Service.Layout == 0 {
			return nil
		}
		return []carobthread.ObjectID{LayoutID(object.Service.Name, object.Service.Layout)}
	case object.Layout != nil:
		needed := []carobthread.ObjectID{ServiceID(object.Layout.Service)}
		seen := map[string]bool{}
		for _, replicas := range object.Layout.Shards {
			for _, name := range replicas {
				if !seen[name] {
					seen[name] = true
					needed = append(needed, SearcherID(name))
				}
			}
		}
		return needed
	default:
		return nil
	}
}

// idParts holds the components of an object ID.
type idParts struct {
	kind       string
	name       string
	generation uint32
}

// splitID parses and checks an object ID; the separator is "/" in IDs and " " in section headers.
func splitID(id, separator string) (idParts, error) {
	kind, rest, _ := strings.Cut(id, separator)
	name, digits, found := strings.Cut(rest, separator)
	parts := idParts{kind: kind, name: name}
	if kind != objectKindService && kind != objectKindLayout && kind != objectKindSearcher {
		return parts, fmt.Errorf("unknown kind of object %q", kind)
	}
	if rest == "" || found != (kind == objectKindLayout) {
		return parts, fmt.Errorf("%q is not service/NAME, layout/SERVICE/GENERATION or searcher/NAME", strings.ReplaceAll(id, " ", "/"))
	}
	if err := checkName(name); err != nil || !found {
		return parts, err
	}
	generation, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || generation == 0 || digits[0] == '0' {
		return parts, fmt.Errorf("%q is not a layout generation, allowed are 1 to %d", digits, uint32(math.MaxUint32))
	}
	parts.generation = uint32(generation)
	return parts, nil
}

// checkID returns an error unless id is a valid object ID.
func checkID(id string) error {
	_, err := splitID(id, "/")
	return err
}

// newObject returns the object named by a section header, with the defaults of its keys.
func newObject(header string) (carobthread.Object, error) {
	parts, err := splitID(header, " ")
	if err != nil {
		return carobthread.Object{}, err
	}
	name := strings.Clone(parts.name)
	switch parts.kind {
	case objectKindService:
		return carobthread.Object{ID: ServiceID(name), Service: defaultService(name)}, nil
	case objectKindLayout:
		layout := &carobthread.Layout{Service: name, Generation: parts.generation}
		return carobthread.Object{ID: LayoutID(name, parts.generation), Layout: layout}, nil
	default:
		return carobthread.Object{ID: SearcherID(name), Searcher: &carobthread.Searcher{Name: name}}, nil
	}
}

func defaultService(name string) *carobthread.Service {
	return &carobthread.Service{
		Name:              name,
		Preference:        carobthread.LatencyFirst,
		CoverageFloor:     defaultCoverageFloor,
		HedgeQuantile:     defaultHedgeQuantile,
		ExtraAttemptRatio: defaultExtraAttemptRatio,
		MaxInFlight:       defaultMaxInFlight,
		MaxRequestSize:    defaultRequestSize,
		MaxReplySize:      defaultReplySize,
	}
}

// object parses the section of an object; the second result is false if the section header names no object.
func (doc *document) object(current *section, ticket uint64) (carobthread.Object, bool) {
	object, err := newObject(current.name)
	if err != nil {
		doc.report(current.pos, "section [%s]: %v", current.name, err)
		return object, false
	}
	object.Ticket = ticket
	switch {
	case object.Service != nil:
		doc.service(current, object.Service)
	case object.Layout != nil:
		doc.layout(current, object.Layout)
	default:
		doc.searcher(current, object.Searcher)
	}
	return object, true
}

// service parses the section of a service. The soft deadline defaults to half the hard deadline for latency-first
// search services and to the hard deadline for all others.
func (doc *document) service(current *section, service *carobthread.Service) {
	doc.read(
		current,
		required("kind", oneOf(&service.Kind, carobthread.KindSearch, carobthread.KindExecute)),
		optional("preference", oneOf(&service.Preference, carobthread.LatencyFirst, carobthread.CoverageFirst)),
		optional("soft-deadline", duration(&service.SoftDeadline, minDeadline, maxDeadline)),
		required("hard-deadline", duration(&service.HardDeadline, minDeadline, maxDeadline)),
		optional("coverage-floor", share(&service.CoverageFloor, 0, 1)),
		optional("hedge-quantile", share(&service.HedgeQuantile, minHedgeQuantile, maxHedgeQuantile)),
		optional("extra-share", share(&service.ExtraAttemptRatio, 0, 1)),
		optional("max-in-flight", integer(&service.MaxInFlight, 1, maxInFlight)),
		optional("max-request-size", size(&service.MaxRequestSize, kilobyte, maxRequestSize)),
		optional("max-reply-size", size(&service.MaxReplySize, kilobyte, maxReplySize)),
		required("layout", integer(&service.Layout, 1, math.MaxUint32)),
	)
	soft := current.entry("soft-deadline")
	if soft != nil && service.SoftDeadline > service.HardDeadline && service.HardDeadline > 0 {
		doc.report(soft.valuePos, "soft-deadline %s exceeds hard-deadline %s", service.SoftDeadline, service.HardDeadline)
	}
	if soft == nil {
		service.SoftDeadline = defaultSoftDeadline(service)
	}
}

func defaultSoftDeadline(service *carobthread.Service) time.Duration {
	if service.Kind == carobthread.KindSearch && service.Preference == carobthread.LatencyFirst {
		return max(minDeadline, service.HardDeadline/2)
	}
	return service.HardDeadline
}

func (doc *document) searcher(current *section, searcher *carobthread.Searcher) {
	doc.read(
		current,
		required("address", address(&searcher.Address)),
		required("data-centre", name(&searcher.DataCentre)),
		required("slots", integer(&searcher.Slots, 1, maxSlots)),
		required("connections", integer(&searcher.Connections, 1, maxConnections)),
		optional("leaving", boolean(&searcher.Leaving)),
	)
}

// layout parses the keys shard-0 to shard-N, whose numbers must be contiguous.
func (doc *document) layout(current *section, layout *carobthread.Layout) {
	shards := map[int][]string{}
	for _, keyEntry := range current.entries {
		shard, err := shardNumber(keyEntry.name)
		if err != nil {
			doc.report(keyEntry.pos, "%v in section [%s]", err, current.name)
			continue
		}
		var replicas []string
		doc.convert(keyEntry, list(&replicas, checkName))
		shards[shard] = replicas
	}
	if len(shards) == 0 {
		doc.report(current.pos, "section [%s] lacks the key %q", current.name, shardPrefix+"0")
	}
	for shard := range len(shards) {
		replicas, found := shards[shard]
		if !found {
			doc.report(current.pos, "section [%s] lacks the key \"%s%d\", shard numbers must be contiguous", current.name, shardPrefix, shard)
			return
		}
		layout.Shards = append(layout.Shards, replicas)
	}
}

func shardNumber(key string) (int, error) {
	digits, found := strings.CutPrefix(key, shardPrefix)
	shard, err := strconv.Atoi(digits)
	if !found || err != nil || strconv.Itoa(shard) != digits || shard < 0 {
		return 0, fmt.Errorf("unknown key %q", key)
	}
	if shard >= maxShards {
		return 0, fmt.Errorf("shard %d is out of range, allowed are 0 to %d", shard, maxShards-1)
	}
	return shard, nil
}

func objectIDs(target *[]carobthread.ObjectID) converter {
	return func(value *ini.Key) error {
		var items []string
		if err := list(&items, checkID)(value); err != nil {
			return err
		}
		if len(items) > MaxObjects {
			return fmt.Errorf("%d objects listed, the limit is %d", len(items), MaxObjects)
		}
		*target = make([]carobthread.ObjectID, len(items))
		for i, item := range items {
			(*target)[i] = carobthread.ObjectID(item)
		}
		return nil
	}
}
