// Command toy is a price node and a discovery in one, to try tinroute with: it takes
// every job, works on it for a moment and calls back with a result.
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
	table   = flag.String("table", "127.0.0.1:8500", "serve discovery at this `address`")
	node    = flag.String("node", "127.0.0.1:9000", "serve jobs at this `address`")
	back    = flag.String("back", "127.0.0.1:5000", "call the dispatcher back at this `address`")
	work    = flag.Duration("work", 300*time.Millisecond, "how long a job takes")
	name    = "s-0badcafe"
	running sync.Map // id to the channel that gives the job up
)

func main() {
	flag.Parse()
	go func() { log.Fatal(http.ListenAndServe(*table, http.HandlerFunc(list))) }()
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE /jobs/{id}", func(_ http.ResponseWriter, r *http.Request) {
		if stop, ok := running.LoadAndDelete(r.PathValue("id")); ok {
			log.Printf("%s given up", r.PathValue("id"))
			close(stop.(chan struct{}))
		}
	})
	mux.HandleFunc("POST /", take)
	log.Printf("price node at %s, discovery at %s", *node, *table)
	log.Fatal(http.ListenAndServe(*node, mux))
}

// list answers a watch as long as it may wait, since nothing ever changes.
func list(w http.ResponseWriter, r *http.Request) {
	const version = "1"
	if after := r.URL.Query().Get("after"); after == version {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
		time.Sleep(wait)
		_, _ = fmt.Fprintf(w, `{"version":%s,"full":false,"servers":[]}`, version)
		return
	}
	_, _ = fmt.Fprintf(w, `{"version":%s,"full":true,"servers":[{"id":%q,"addr":%q,"zone":"agadir","kind":"large-fast",`+
		`"cell":0,"state":"SERVING","weight":1,"started_ms":0}]}`, version, name, *node)
}

func take(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Req-Id")
	stop := make(chan struct{})
	running.Store(id, stop)
	log.Printf("%s taken: %s", id, r.URL)
	w.WriteHeader(http.StatusAccepted)
	go func() {
		call(map[string]any{"id": id, "state": "started"})
		select {
		case <-stop:
			return
		case <-time.After(*work):
		}
		running.Delete(id)
		call(map[string]any{"id": id, "state": "done", "result": "unit price 104.20 MAD\n"})
	}()
}

// call tells the dispatcher what becomes of a job, at most ten times.
func call(event map[string]any) {
	event["from"] = name
	body, err := json.Marshal(event)
	if err != nil {
		log.Fatal(err)
	}
	for range 10 {
		resp, err := http.Post("http://"+*back+"/v1/job-events", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
