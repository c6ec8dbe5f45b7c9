package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
)

// listen listens on a free port of loopback.
func listen() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// get and post send a request, which ends with the client's timeout.
func get(client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

func post(client *http.Client, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return client.Do(req)
}

// closeQuietly closes what is not used any more, so that an error changes nothing.
func closeQuietly(c io.Closer) { _ = c.Close() }
