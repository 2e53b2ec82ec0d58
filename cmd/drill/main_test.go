package main

import (
	"bytes"
	"strings"
	"testing"
)

const createInstance = `["up",0,7,{"classes":[{"name":"clip","repeat":"retryable","target_s":0.3,"deadline_s":8}],` +
	`"zones":["a"],"zone":"a","kinds":["k"],"fleet_size":1,"position":0,` +
	`"limits":{"max_attempts":4,"cancel":true,"dial_timeout_s":0.25}}]`

func runInput(t *testing.T, in string) (out, errs string) {
	t.Helper()
	var outBuf, errBuf bytes.Buffer
	if err := run(strings.NewReader(in), &outBuf, &errBuf); err != nil {
		t.Fatal(err)
	}
	return outBuf.String(), errBuf.String()
}

func TestSubmittedJobIsSent(t *testing.T) {
	out, errs := runInput(t, `["frame",8.41225]
`+createInstance+`
["announce",0,"cached",1,[["SERVING",1,"k",5,0,null,"a"]]]
["ask",0,9,"clip",null,null,8,null,1,null,0]
["over_to_you"]

["frame",9]
["attempt_end",0,9,"pass",0,5,null,0.5,true,null]
["kill",0]
["over_to_you"]
`)
	if !strings.HasPrefix(out, "[\"place\",0,9,5,0]\n") || strings.Count(out, "[\"eor\"]\n") != 2 || errs != "" {
		t.Errorf("out %q, errors %q", out, errs)
	}
}

func TestInvalidInputIsReported(t *testing.T) {
	for name, c := range map[string]struct{ line, fault, errs string }{
		"not json":         {`["frame`, "", "malformed line"},
		"unknown message":  {`["huh",0]`, "internal_error", "unknown message"},
		"missing value":    {`["ask",0,9,"clip"]`, "internal_error", "patience_left_s"},
		"unknown instance": {`["alarm",8,1]`, "internal_error", "unknown instance 8"},
		"bad settings":     {`["up",1,7,{"classes":[]}]`, "internal_error", "there are no classes"},
	} {
		out, errs := runInput(t, createInstance+"\n"+c.line+"\n[\"over_to_you\"]\n")
		if !strings.Contains(errs, c.errs) || !strings.Contains(out, c.fault) || !strings.HasSuffix(out, "[\"eor\"]\n") {
			t.Errorf("%s: out %q, errors %q", name, out, errs)
		}
	}
}

func TestStaleEventsAreIgnored(t *testing.T) {
	out, errs := runInput(t, createInstance+`
["attempt_end",0,1,"pass",0,5,null,0.5,true,null]
["note",0,1,0,5,1,null]
["expired",0,1]
["alarm",0,99]
["probe_done",0,5,"pass",0.1,null]
["memo",0,0,"AA=="]
["over_to_you"]
`)
	if errs != "" || strings.Contains(out, "internal_error") {
		t.Errorf("out %q, errors %q", out, errs)
	}
}
