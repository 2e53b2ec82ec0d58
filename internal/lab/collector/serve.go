package collector

import (
	"net"
	"net/http"
)

// Server is a collector that listens on loopback for HTTP and gRPC.
type Server struct {
	*Collector
	HTTPURL, GRPCURL string // URLs without a path
	stop             func()
}

// Serve starts a server for the collector on free ports.
func Serve(c *Collector) (*Server, error) {
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	grpcListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = httpListener.Close()
		return nil, err
	}
	httpServer, grpcServer := &http.Server{Handler: c}, c.NewGRPCServer()
	go func() { _ = httpServer.Serve(httpListener) }()
	go func() { _ = grpcServer.Serve(grpcListener) }()
	return &Server{Collector: c, HTTPURL: "http://" + httpListener.Addr().String(), GRPCURL: "http://" + grpcListener.Addr().String(),
		stop: func() { c.Close(); _ = httpServer.Close(); grpcServer.Stop() }}, nil
}

// Stop stops the server and ends its open requests.
func (s *Server) Stop() { s.stop() }
