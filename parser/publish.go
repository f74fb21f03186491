package parser

import (
	"slices"
	"strconv"
	"strings"

	"carobthread"
)

// A ticket is published as one platform value per object, under the key
// object/ID, and as lines of the index. Each value repeats the ticket's number
// and object list, so that a reader can tell from any one value which other
// objects belong to the ticket. The encoding is canonical: equal objects have
// equal encodings, regardless of the formatting of the ticket file.

// Keys and key prefixes of the platform's values.
const (
	// IndexKey holds the top value of the index.
	IndexKey = "index"
	// BucketPrefix precedes the three-digit number of an index bucket.
	BucketPrefix = "index/"
	// ObjectPrefix precedes an object ID.
	ObjectPrefix = "object/"
	// HostsKey holds the platform's host list.
	HostsKey = "hosts"
)

const (
	objectSection  = "object"
	indexSection   = "index"
	objectsSection = "objects"
	bucketsSection = "buckets"
	recentSection  = "recent"
)

// PublishedObject is one object with the sorted IDs of all objects of its ticket.
type PublishedObject struct {
	Object  carobthread.Object
	Objects []carobthread.ObjectID
}

// ObjectKey returns the platform key of an object.
func ObjectKey(id carobthread.ObjectID) string { return ObjectPrefix + string(id) }

// EncodeTicket returns the values of a ticket's objects, ordered by key; they must be written before the index.
func EncodeTicket(ticket *carobthread.Ticket) []carobthread.Value {
	ids := make([]carobthread.ObjectID, len(ticket.Objects))
	for i := range ticket.Objects {
		ids[i] = ticket.Objects[i].ID
	}
	slices.Sort(ids)
	values := make([]carobthread.Value, len(ids))
	for i := range ticket.Objects {
		published := PublishedObject{Object: ticket.Objects[i], Objects: ids}
		published.Object.Ticket = ticket.Number
		values[i] = carobthread.Value{Key: ObjectKey(published.Object.ID), Content: EncodeObject(&published)}
	}
	slices.SortFunc(values, func(left, right carobthread.Value) int { return strings.Compare(left.Key, right.Key) })
	return values
}

// EncodeObject returns the canonical encoding of an object.
func EncodeObject(published *PublishedObject) []byte {
	object := &published.Object
	writer := &writer{}
	writer.section(objectSection)
	writer.key("id", string(object.ID))
	writer.key("ticket", strconv.FormatUint(object.Ticket, 10))
	writer.key("objects", joinIDs(published.Objects))
	writer.object(object)
	return []byte(writer.String())
}

// SectionSize returns the size of an object's canonical section in bytes, which counts towards the size of its ticket.
func SectionSize(object *carobthread.Object) int {
	writer := &writer{}
	writer.object(object)
	return writer.Len()
}

// DecodeObject decodes an object's value; file identifies the source in findings.
func DecodeObject(file string, content []byte) (PublishedObject, carobthread.Findings) {
	doc := scan(file, content)
	published := doc.published()
	return published, sortFindings(doc.findings)
}

func (doc *document) published() PublishedObject {
	published := PublishedObject{}
	doc.requireSections(objectSection)
	mainSection := doc.section(objectSection)
	if mainSection == nil {
		return published
	}
	var id string
	var number uint64
	doc.read(
		mainSection,
		required("id", text(&id)),
		required("ticket", integer(&number, 1, maxNumber)),
		required("objects", objectIDs(&published.Objects)),
	)
	slices.Sort(published.Objects)
	for _, current := range doc.sections {
		if current == mainSection {
			continue
		}
		object, found := doc.object(current, number)
		if found && string(object.ID) != id {
			doc.report(current.pos, "section [%s] is not the object %q", current.name, id)
		} else if found {
			published.Object = object
		}
	}
	if published.Object.ID == "" {
		doc.report(mainSection.pos, "object %q has no section", id)
	}
	if _, listed := slices.BinarySearch(published.Objects, published.Object.ID); !listed {
		doc.report(mainSection.pos, "object %q is not in its ticket's objects", id)
	}
	return published
}

// writer builds INI text.
type writer struct{ strings.Builder }

func (writer *writer) section(name string) {
	if writer.Len() > 0 {
		writer.WriteByte('\n')
	}
	writer.WriteString("[" + name + "]\n")
}

func (writer *writer) key(name, value string) {
	writer.WriteString(name + " = " + value + "\n")
}

func (writer *writer) object(object *carobthread.Object) {
	writer.section(strings.ReplaceAll(string(object.ID), "/", " "))
	switch {
	case object.Service != nil:
		writer.service(object.Service)
	case object.Layout != nil:
		for shard, replicas := range object.Layout.Shards {
			writer.key(shardPrefix+strconv.Itoa(shard), strings.Join(replicas, ", "))
		}
	case object.Searcher != nil:
		writer.searcher(object.Searcher)
	}
}

func (writer *writer) service(service *carobthread.Service) {
	writer.key("kind", string(service.Kind))
	writer.key("preference", string(service.Preference))
	writer.key("soft-deadline", service.SoftDeadline.String())
	writer.key("hard-deadline", service.HardDeadline.String())
	writer.key("coverage-floor", formatShare(service.CoverageFloor))
	writer.key("hedge-quantile", formatShare(service.HedgeQuantile))
	writer.key("extra-share", formatShare(service.ExtraAttemptRatio))
	writer.key("max-in-flight", strconv.Itoa(service.MaxInFlight))
	writer.key("max-request-size", formatSize(service.MaxRequestSize))
	writer.key("max-reply-size", formatSize(service.MaxReplySize))
	writer.key("layout", strconv.FormatUint(uint64(service.Layout), 10))
}

func (writer *writer) searcher(searcher *carobthread.Searcher) {
	writer.key("address", searcher.Address)
	writer.key("data-centre", searcher.DataCentre)
	writer.key("slots", strconv.Itoa(searcher.Slots))
	writer.key("connections", strconv.Itoa(searcher.Connections))
	writer.key("leaving", strconv.FormatBool(searcher.Leaving))
}

func formatShare(fraction float64) string { return strconv.FormatFloat(fraction, 'g', -1, 64) }

func joinIDs(ids []carobthread.ObjectID) string {
	words := make([]string, len(ids))
	for i, id := range ids {
		words[i] = string(id)
	}
	return strings.Join(words, ", ")
}
