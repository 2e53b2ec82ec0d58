// Command toy is a demo backend for tinroute: a node and a discovery service in one process. It accepts every job, waits
// for the job duration and reports a result.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"sync"
	"time"
)

var (
	discoveryAddr  = flag.String("table", "127.0.0.1:8500", "serve discovery at this `address`")
	nodeAddr       = flag.String("node", "127.0.0.1:9000", "serve jobs at this `address`")
	dispatcherAddr = flag.String("back", "127.0.0.1:5000", "call the dispatcher back at this `address`")
	jobDuration    = flag.Duration("work", 300*time.Millisecond, "how long a job takes")
	nodeName       = "s-0badcafe"
	cancels        sync.Map // job ID to the channel that cancels the job when closed
)

func main() {
	flag.Parse()
	go func() { log.Fatal(http.ListenAndServe(*discoveryAddr, http.HandlerFunc(serveDiscovery))) }()
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE /jobs/{id}", func(_ http.ResponseWriter, r *http.Request) {
		if stop, ok := cancels.LoadAndDelete(r.PathValue("id")); ok {
			log.Printf("job %s cancelled", r.PathValue("id"))
			close(stop.(chan struct{}))
		}
	})
	mux.HandleFunc("POST /", acceptJob)
	log.Printf("serving jobs at %s and discovery at %s", *nodeAddr, *discoveryAddr)
	log.Fatal(http.ListenAndServe(*nodeAddr, mux))
}

// serveDiscovery answers requests for the member list. A watch is held for its full wait time, since the list never
// changes.
func serveDiscovery(w http.ResponseWriter, r *http.Request) {
	const version = "1"
	if after := r.URL.Query().Get("after"); after == version {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
		time.Sleep(wait)
		_, _ = fmt.Fprintf(w, `{"version":%s,"full":false,"servers":[]}`, version)
		return
	}
	_, _ = fmt.Fprintf(w, `{"version":%s,"full":true,"servers":[{"id":%q,"addr":%q,"zone":"agadir","kind":"large-fast",`+
		`"cell":0,"state":"SERVING","weight":1,"started_ms":0}]}`, version, nodeName, *nodeAddr)
}

// acceptJob accepts a job and reports its result after the job duration, unless it is cancelled before.
func acceptJob(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Req-Id")
	stop := make(chan struct{})
	cancels.Store(id, stop)
	log.Printf("job %s accepted: %s", id, r.URL)
	w.WriteHeader(http.StatusAccepted)
	go func() {
		reportState(map[string]any{"id": id, "state": "started"})
		select {
		case <-stop:
			return
		case <-time.After(*jobDuration):
		}
		cancels.Delete(id)
		reportState(map[string]any{"id": id, "state": "done", "result": "unit price 104.20 MAD\n"})
	}()
}

// reportState sends the state of a job to the dispatcher, with up to ten attempts.
func reportState(event map[string]any) {
	event["from"] = nodeName
	body, err := json.Marshal(event)
	if err != nil {
		log.Fatal(err)
	}
	for range 10 {
		resp, err := http.Post("http://"+*dispatcherAddr+"/v1/job-events", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
