package collector

import (
	"net"
	"net/http"
)

// Running is a collector that serves on loopback, over both transports.
type Running struct {
	*Collector
	HTTP, GRPC string // URLs, without a path
	stop       func()
}

// Serve serves a collector on ports that the system picks.
func Serve(c *Collector) (*Running, error) {
	web, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rpc, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = web.Close()
		return nil, err
	}
	h, g := &http.Server{Handler: c}, c.GRPC()
	go func() { _ = h.Serve(web) }()
	go func() { _ = g.Serve(rpc) }()
	return &Running{Collector: c, HTTP: "http://" + web.Addr().String(), GRPC: "http://" + rpc.Addr().String(),
		stop: func() { c.Close(); _ = h.Close(); g.Stop() }}, nil
}

// Stop ends it, and what stalls there.
func (r *Running) Stop() { r.stop() }
