package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"

	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
)

type queryCommand struct {
	Host     string        `long:"host" required:"true" description:"caller address of an entry host, IP:PORT"`
	Service  string        `long:"service" required:"true" description:"service to search"`
	Limit    uint32        `long:"limit" default:"10" description:"maximum number of hits to print"`
	Deadline time.Duration `long:"deadline" default:"0s" description:"time to wait; 0 means the service's hard deadline"`
	JSON     bool          `long:"json" description:"print the answer as one JSON object"`
}

// Execute sends one query and prints the answer with its coverage.
func (command *queryCommand) Execute(arguments []string) error {
	if len(arguments) != 1 {
		return &usageError{cause: errors.New("query: takes exactly one argument, the query text")}
	}
	client := carobthreadv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+command.Host)
	request := &carobthreadv1.SearchRequest{Service: command.Service, Query: []byte(arguments[0]), Limit: command.Limit}
	if command.Deadline > 0 {
		request.DeadlineUs = time.Now().Add(command.Deadline).UnixMicro()
	}
	response, err := client.Search(context.Background(), connect.NewRequest(request))
	if err != nil {
		return server.RequestErrorOf(err)
	}
	return command.print(response.Msg)
}

func (command *queryCommand) print(answer *carobthreadv1.SearchResponse) error {
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(answer)
	}
	coverage := answer.GetCoverage()
	fmt.Printf("coverage=%d/%d snapshot=%d age=%s layout=%d latency=%s attempts=%d host=%s\n",
		coverage.GetAnswered(), coverage.GetTotal(), answer.GetSnapshot(),
		time.Duration(answer.GetSnapshotAgeUs())*time.Microsecond, answer.GetLayout(),
		time.Duration(answer.GetLatencyUs())*time.Microsecond, answer.GetAttempts(), answer.GetHost())
	for _, missing := range coverage.GetMissing() {
		fmt.Printf("missing shard %d: %s\n", missing.GetShard(), missing.GetReason())
	}
	for _, hit := range answer.GetHits() {
		fmt.Printf("%.4f %s\n", hit.GetScore(), hit.GetId())
	}
	return nil
}
