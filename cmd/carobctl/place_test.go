package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong exit status of place, on which operators' scripts rely.
func TestPlaceExitStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		answer := `{"host":"h","route":"r","version":3,"placements":[{"service":"r","layout":3,"shards":[
			{"shard":0,"class":"local","chosen":"s","replicas":[{"searcher":"s","class":"local","estimate-age-us":5}]},
			{"shard":1,"class":"gone","reason":"no-replica"},{"shard":2,"class":"saturated","waits":true}]}]}`
		switch request.URL.Query().Get("path") {
		case "/none":
			writer.WriteHeader(http.StatusNotFound)
			answer = `{"host":"h","error":"no route"}`
		case "/old": // a host without the page
			writer.WriteHeader(http.StatusNotFound)
			answer = "404 page not found"
		}
		_, _ = writer.Write([]byte(answer))
	}))
	address := server.Listener.Addr().String()
	for _, step := range []struct {
		status    int
		arguments []string
	}{
		{exitDone, []string{"--host", address, "a.example", "/x"}},
		{exitDone, []string{"--json", "--host", address, "a.example", "/x"}},
		{exitFailed, []string{"--host", address, "a.example", "/none"}},
		{exitFailed, []string{"--host", address, "a.example", "/old"}},
		{exitUsage, []string{"--host", address, "a.example"}},
		{exitUsage, []string{"--host", address, "a.example", "x"}},
		{exitUsage, []string{"--host", address, "a.example", "/x", "/y"}},
		{exitUsage, []string{"--host", "localhost", "a.example", "/x"}},
		{exitUsage, []string{"a.example", "/x"}},
	} {
		assert.Equal(t, run(append([]string{"place"}, step.arguments...)), step.status, "%v", step.arguments)
	}
	server.Close()
	assert.Equal(t, run([]string{"place", "--host", address, "a.example", "/x"}), exitFailed)
}
