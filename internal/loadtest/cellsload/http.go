package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// get sends a GET request, which is bounded by the client's timeout.
func get(client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// post sends a JSON body in a POST request, which is bounded by the client's timeout.
func post(client *http.Client, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return client.Do(req)
}

// closeQuietly closes a resource that is no longer used and ignores the error, which has no effect.
func closeQuietly(c io.Closer) { _ = c.Close() }
