// Package worker asks machines directly whether they are alive. Orders never
// go this way: they could be carried out late.
package worker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Prober asks machines for their state.
type Prober struct{ http *http.Client }

// NewProber makes a prober. Connections are not kept: a machine is only asked
// when it has fallen silent.
func NewProber() *Prober {
	return &Prober{&http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
		MaxConnsPerHost:    1,
	}}}
}

// Probe returns nil if the machine at an address answers.
func (p *Prober) Probe(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20)); err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("probe: status %d", resp.StatusCode)
	}
	return nil
}
