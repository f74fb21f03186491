package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"carobthread"
	"carobthread/runner"
)

type placeCommand struct {
	Host      string `long:"host" required:"true" description:"operator address of an entry host, IP:PORT"`
	JSON      bool   `long:"json" description:"print the placement as one JSON line"`
	Arguments struct {
		Name string `positional-arg-name:"HOST" description:"host name of the request"`
		Path string `positional-arg-name:"PATH" description:"path of the request"`
	} `positional-args:"true" required:"true"`
}

// Execute prints where a host would send a request now, and why, without sending it.
func (command *placeCommand) Execute(rest []string) error {
	name, path := command.Arguments.Name, command.Arguments.Path
	if len(rest) > 0 || !strings.HasPrefix(path, "/") {
		return &usageError{cause: errors.New("place: want a host name and a path that begins with /")}
	}
	if _, err := netip.ParseAddrPort(command.Host); err != nil {
		return &usageError{cause: fmt.Errorf("place: %w", err)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: command.Host, Path: "/place", RawQuery: url.Values{"host": {name}, "path": {path}}.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return &usageError{cause: fmt.Errorf("place: %w", err)}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("place: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxStatusSize))
	if err != nil {
		return fmt.Errorf("place: %w", err)
	}
	var answer runner.PlaceAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		return fmt.Errorf("place: host %s answered %s: %w", command.Host, response.Status, err)
	}
	if answer.Error != "" || response.StatusCode != http.StatusOK {
		return fmt.Errorf("place: host %s answered %s: %s", command.Host, response.Status, answer.Error)
	}
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(answer)
	}
	return printPlacement(os.Stdout, &answer)
}

func printPlacement(output io.Writer, answer *runner.PlaceAnswer) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "at %s: route %s, version %d\n", answer.Host, answer.Route, answer.Version)
	if answer.Coordinators > 0 {
		fmt.Fprintf(text, "may be delegated to one of %d coordinators; if this host handles it:\n", answer.Coordinators)
	}
	for i := range answer.Placements {
		placement := &answer.Placements[i]
		fmt.Fprintf(text, "service %s", placement.Service)
		if placement.Weight > 0 {
			fmt.Fprintf(text, ", weight %g", placement.Weight)
		}
		text.WriteString("\n")
		for j := range placement.Shards {
			writeShard(text, &placement.Shards[j])
		}
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}

func writeShard(text *strings.Builder, shard *carobthread.ShardPlacement) {
	decision := "to " + shard.Chosen
	switch {
	case shard.Waits:
		decision = fmt.Sprintf("waits behind %d", shard.Waiting)
	case shard.Chosen == "":
		decision = "to none: " + string(shard.Reason)
	}
	fmt.Fprintf(text, "  shard %d %s: %s (%s)\n", shard.Shard, shard.Group, decision, shard.Class)
	for i := range shard.Replicas {
		replica := &shard.Replicas[i]
		fmt.Fprintf(text, "    %s\t%s\t%s\tcost %v\tin flight %d of %d\tfailing %.0f%%\testimate %v, %s\treply %s\n",
			replica.Searcher, replica.DataCentre, replica.Class, microseconds(replica.CostMicros), replica.InFlight, replica.Limit,
			100*replica.FailureRate, microseconds(replica.EstimateMicros), age(replica.EstimateAgeMicros), age(replica.ReplyAgeMicros))
	}
}

func microseconds(count int64) time.Duration { return time.Duration(count) * time.Microsecond }

func age(micros *int64) string {
	if micros == nil {
		return "never"
	}
	return microseconds(*micros).Round(time.Millisecond).String() + " old"
}
