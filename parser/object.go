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

// An object has an id such as layout/matching/3 and a section with the same
// words, such as [layout matching 3]. The section holds the whole state of the
// object, so that a key that is left out takes its default and never an
// earlier value.

// Ranges and defaults of object keys.
const (
	maxDeadline          = 10 * time.Minute
	maxInFlight          = 1_000_000
	maxShards            = 65_536
	maxSlots             = 65_536
	maxConnections       = 65_536
	defaultCoverageFloor = 0.9
	defaultHedgeQuantile = 0.95
	defaultExtraShare    = 0.05
	defaultMaxInFlight   = 1000
	shardPrefix          = "shard-"
	serviceWord          = "service"
	layoutWord           = "layout"
	searcherWord         = "searcher"
	minHedgeQuantile     = 0.5
	maxHedgeQuantile     = 0.9999
	minDeadline          = time.Millisecond
)

// ServiceID returns the id of a service.
func ServiceID(name string) carobthread.ObjectID {
	return carobthread.ObjectID(serviceWord + "/" + name)
}

// LayoutID returns the id of one layout generation of a service.
func LayoutID(service string, generation uint32) carobthread.ObjectID {
	return carobthread.ObjectID(layoutWord + "/" + service + "/" + strconv.FormatUint(uint64(generation), 10))
}

// SearcherID returns the id of a searcher.
func SearcherID(name string) carobthread.ObjectID {
	return carobthread.ObjectID(searcherWord + "/" + name)
}

// References returns the ids that an object needs in the same state, in the order of its keys.
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

// idParts are the words of an object's id.
type idParts struct {
	kind       string
	name       string
	generation uint32
}

// splitID checks an id whose words are joined by a separator, "/" in ids and " " in section headers.
func splitID(id, separator string) (idParts, error) {
	kind, rest, _ := strings.Cut(id, separator)
	name, digits, found := strings.Cut(rest, separator)
	parts := idParts{kind: kind, name: name}
	if kind != serviceWord && kind != layoutWord && kind != searcherWord {
		return parts, fmt.Errorf("unknown kind of object %q", kind)
	}
	if rest == "" || found != (kind == layoutWord) {
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

// checkID accepts the id of an object.
func checkID(id string) error {
	_, err := splitID(id, "/")
	return err
}

// blankObject returns the object that a section header names, with its defaults.
func blankObject(header string) (carobthread.Object, error) {
	parts, err := splitID(header, " ")
	if err != nil {
		return carobthread.Object{}, err
	}
	name := strings.Clone(parts.name)
	switch parts.kind {
	case serviceWord:
		return carobthread.Object{ID: ServiceID(name), Service: defaultService(name)}, nil
	case layoutWord:
		layout := &carobthread.Layout{Service: name, Generation: parts.generation}
		return carobthread.Object{ID: LayoutID(name, parts.generation), Layout: layout}, nil
	default:
		return carobthread.Object{ID: SearcherID(name), Searcher: &carobthread.Searcher{Name: name}}, nil
	}
}

func defaultService(name string) *carobthread.Service {
	return &carobthread.Service{
		Name:           name,
		Preference:     carobthread.LatencyFirst,
		CoverageFloor:  defaultCoverageFloor,
		HedgeQuantile:  defaultHedgeQuantile,
		ExtraShare:     defaultExtraShare,
		MaxInFlight:    defaultMaxInFlight,
		MaxRequestSize: defaultRequestSize,
		MaxReplySize:   defaultReplySize,
	}
}

// object reads the section of an object; the second result is false for a section that names none.
func (doc *document) object(current *section, ticket uint64) (carobthread.Object, bool) {
	object, err := blankObject(current.name)
	if err != nil {
		doc.report(current.at, "section [%s]: %v", current.name, err)
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

// service reads a service; the default soft deadline is half the hard one where latency comes first, else all of it.
func (doc *document) service(current *section, service *carobthread.Service) {
	doc.read(
		current,
		required("kind", choice(&service.Kind, carobthread.KindSearch, carobthread.KindExecute)),
		optional("preference", choice(&service.Preference, carobthread.LatencyFirst, carobthread.CoverageFirst)),
		optional("soft-deadline", duration(&service.SoftDeadline, minDeadline, maxDeadline)),
		required("hard-deadline", duration(&service.HardDeadline, minDeadline, maxDeadline)),
		optional("coverage-floor", share(&service.CoverageFloor, 0, 1)),
		optional("hedge-quantile", share(&service.HedgeQuantile, minHedgeQuantile, maxHedgeQuantile)),
		optional("extra-share", share(&service.ExtraShare, 0, 1)),
		optional("max-in-flight", integer(&service.MaxInFlight, 1, maxInFlight)),
		optional("max-request-size", size(&service.MaxRequestSize, kilobyte, maxRequestSize)),
		optional("max-reply-size", size(&service.MaxReplySize, kilobyte, maxReplySize)),
		required("layout", integer(&service.Layout, 1, math.MaxUint32)),
	)
	soft := current.entry("soft-deadline")
	if soft != nil && service.SoftDeadline > service.HardDeadline && service.HardDeadline > 0 {
		doc.report(soft.valueAt, "soft-deadline %s exceeds hard-deadline %s", service.SoftDeadline, service.HardDeadline)
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
		optional("leaving", flag(&searcher.Leaving)),
	)
}

// layout reads the keys shard-0 to shard-N, which must leave no gap.
func (doc *document) layout(current *section, layout *carobthread.Layout) {
	shards := map[int][]string{}
	for _, held := range current.entries {
		shard, err := shardNumber(held.name)
		if err != nil {
			doc.report(held.at, "%v in section [%s]", err, current.name)
			continue
		}
		var replicas []string
		doc.convert(held, list(&replicas, checkName))
		shards[shard] = replicas
	}
	if len(shards) == 0 {
		doc.report(current.at, "section [%s] lacks the key %q", current.name, shardPrefix+"0")
	}
	for shard := range len(shards) {
		replicas, found := shards[shard]
		if !found {
			doc.report(current.at, "section [%s] lacks the key \"%s%d\" before later shards", current.name, shardPrefix, shard)
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
