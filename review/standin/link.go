package main

import (
	"context"
	"net"
	"net/http"
	"time"
)

// listen listens on a free loopback port.
func listen() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// serve serves HTTP on a free loopback port until the process ends, and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // never closed
	return listener.Addr().String(), nil
}
