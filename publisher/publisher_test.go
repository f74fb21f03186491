package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/applier"
	"carobthread/internal/standin"
	"carobthread/parser"
	"carobthread/publisher"
	"carobthread/timer"
)

// hookedStore runs the hook before the write with number hookAt, counted from 1.
type hookedStore struct {
	publisher.Store
	writes int
	hookAt int
	hook   func() error
}

func (store *hookedStore) Replace(ctx context.Context, key string, revision uint64, content []byte) error {
	store.writes++
	if store.writes == store.hookAt {
		if err := store.hook(); err != nil {
			return err
		}
	}
	return store.Store.Replace(ctx, key, revision, content)
}

// Guards against tickets that are partly published without an error, published twice, or that overwrite another
// operator's changes. Each step ends by printing the state of a host that reads everything from the platform.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		platform := standin.NewPlatform(standin.PlatformOptions{Timer: timer.New()})
		serving, err := standin.ServePlatform(platform, "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { assert.NilError(t, serving.Close()) }()
		client, err := publisher.NewClient(timer.New(), "http://"+serving.Address())
		assert.NilError(t, err)
		defer client.Close()
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			t.Helper()
			text := ""
			for _, line := range strings.Split(step.Input, "\n") {
				text += submit(t, platform, client, strings.Fields(line)) + "\n"
			}
			return text + describeState(t, client)
		})
	})
}

// submit runs one line of a script: OPERATION WRITE NUMBER ID..., where WRITE is the write to disturb, or 0 for none.
func submit(t *testing.T, platform *standin.Platform, client *publisher.Client, words []string) string {
	t.Helper()
	hookAt, err := strconv.Atoi(words[1])
	assert.NilError(t, err)
	store := &hookedStore{Store: client, hookAt: hookAt}
	switch words[0] {
	case "submit":
	case "cut": // the tool is interrupted before the given write
		store.hook = func() error { return errors.New("cut") }
	case "race": // another operator publishes searcher/other before the given write
		store.hook = func() error {
			other := carobthread.Searcher{Name: "other", Address: "127.0.0.1:1", DataCentre: "south", Slots: 1, Connections: 1}
			objects := []carobthread.Object{{ID: "searcher/other", Searcher: &other}}
			return platform.Publish(&carobthread.Ticket{Number: 100, Objects: objects})
		}
	default:
		t.Fatalf("unknown operation %q", words[0])
	}
	text := "[ticket]\nnumber = " + words[2] + "\nobjects = " + strings.ReplaceAll(strings.Join(words[3:], ","), "!", "") + "\n"
	for _, word := range words[3:] { // a '!' selects different content for a searcher
		kind, _, _ := strings.Cut(word, "/")
		text += "[" + strings.ReplaceAll(strings.TrimSuffix(word, "!"), "/", " ") + "]\n" + map[string]string{
			"service":  "kind = search\nhard-deadline = 1s\nlayout = 1\n",
			"layout":   "shard-0 = a, b\n",
			"searcher": "address = 127.0.0.1:1\ndata-centre = south\nslots = 1\nconnections = 1\n",
		}[kind]
		if strings.HasSuffix(word, "!") {
			text += "leaving = true\n"
		}
	}
	result, err := publisher.Submit(t.Context(), store, "change.ini", []byte(text))
	return fmt.Sprintf("%+v %v", result, err)
}

func describeState(t *testing.T, client *publisher.Client) string {
	t.Helper()
	value, err := client.Read(t.Context(), parser.IndexKey)
	if err != nil {
		return "no index"
	}
	top, findings := parser.DecodeIndexTop(parser.IndexKey, value.Content)
	assert.Equal(t, len(findings), 0)
	index := parser.Index{TicketNumbers: map[carobthread.ObjectID]uint64{}}
	behind := ""
	for _, bucket := range slices.Sorted(maps.Keys(top.Buckets)) {
		value, err := client.Read(t.Context(), parser.BucketKey(bucket))
		assert.NilError(t, err)
		lines, findings := parser.DecodeIndex(value.Key, value.Content)
		assert.Equal(t, len(findings), 0)
		maps.Copy(index.TicketNumbers, lines.TicketNumbers)
		if lines.Hash() != top.Buckets[bucket] {
			behind = "top value behind, "
		}
	}
	host := applier.New(applier.Options{})
	batch := &applier.ValuesArrived{Source: "platform"}
	for _, id := range host.MissingObjects(index) {
		object, err := client.Read(t.Context(), parser.ObjectKey(id))
		assert.NilError(t, err)
		batch.Values = append(batch.Values, object.Content)
	}
	host.Step(applier.Event{Arrived: batch})
	text := []string{fmt.Sprintf("%scovers %v:", behind, host.Covers(index))}
	for _, object := range host.Status(0).Objects {
		text = append(text, fmt.Sprintf("%s=%d", object.ID, object.Ticket))
	}
	return strings.Join(text, " ")
}
