package main

import "example.org/ivytrestle/internal/loadtest/localprocess"

// link is a link from one cell to a listener of another cell's controller.
type link struct {
	*localprocess.Link
	// from and to are the names of the cells.
	from, to string
}

func newLink(from, to, target string) (*link, error) {
	l, err := localprocess.NewLink(target)
	if err != nil {
		return nil, err
	}
	return &link{Link: l, from: from, to: to}, nil
}

// setCut cuts the link and closes its connections, or restores it.
func (l *link) setCut(cut bool) {
	if cut {
		l.SetMode(localprocess.Refused)
	} else {
		l.SetMode(localprocess.Open)
	}
}
