package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"carobthread/internal/standin"
	"carobthread/timer"
)

// Guards against a wrong exit status of check and submit, on which operators' scripts rely.
func TestCheckAndSubmitExitStatus(t *testing.T) {
	platform := standin.NewPlatform(standin.PlatformOptions{Timer: timer.New()})
	serving, err := standin.ServePlatform(platform, "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, serving.Close()) }()
	url := "http://" + serving.Address()
	for _, step := range []struct {
		status    int
		arguments []string
	}{
		{exitDone, []string{"check", "--help"}},
		{exitUsage, []string{"check"}},
		{exitUsage, []string{"check", "testdata/absent.ini"}},
		{exitDone, []string{"check", "testdata/host.ini", "testdata/ticket-1.ini", "testdata/ticket-2.ini"}},
		{exitDone, []string{"check", "testdata/front.ini", "testdata/table.json"}},
		{exitUsage, []string{"check", "testdata/table.json", "testdata/table-bad.json"}},
		{exitUsage, []string{"check", "testdata/ticket-2.ini"}}, // refers to an object of ticket 1
		{exitDone, []string{"check", "--partial", "testdata/ticket-2.ini"}},
		{exitUsage, []string{"submit", "--platform", "https://" + serving.Address(), "testdata/ticket-1.ini"}},
		{exitUsage, []string{"submit", "--platform", url, "testdata/ticket-2.ini"}},
		{exitDone, []string{"submit", "--platform", url, "testdata/ticket-1.ini"}},
		{exitDone, []string{"check", "--platform", url, "testdata/ticket-2.ini"}},
		{exitUsage, []string{"check", "--platform", "", "testdata/ticket-2.ini"}},
		{exitUsage, []string{"check", "--platform", "localhost", "testdata/ticket-2.ini"}},
		{exitDone, []string{"submit", "--json", "--platform", url, "testdata/ticket-2.ini"}},
		{exitDone, []string{"submit", "--platform", url, "testdata/ticket-1.ini"}}, // a replay changes nothing
		{exitUsage, []string{"submit", "--platform", url, "testdata/host.ini"}},
	} {
		assert.Equal(t, run(step.arguments), step.status, "%v", step.arguments)
	}
	platform.SetOutage(true)
	assert.Equal(t, run([]string{"submit", "--platform", url, "testdata/ticket-1.ini"}), exitFailed)
}
