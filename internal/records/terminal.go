package records

import (
	"context"
	"slices"
	"strings"
)

// maxCachedTerminalRecords is how many terminal records are cached. It is more than the number of
// dependencies that one submission can have.
const maxCachedTerminalRecords = 8192

// TerminalRecords reads the terminal records of jobs that are not active. Jobs without a terminal
// record are left out. If it fails, it returns the records read so far with the error.
func (r *Records) TerminalRecords(ctx context.Context, ids []string) (map[string]TerminalRecord, error) {
	found := make(map[string]TerminalRecord, len(ids))
	var unread []string
	for _, id := range ids {
		if terminal, ok := r.cachedTerminal(id); ok {
			found[id] = terminal
			r.cache.addIfDone(id, terminal)
		} else {
			unread = append(unread, id)
		}
	}
	if len(unread) > maxSingleReads {
		return found, r.readTerminalRanges(ctx, unread, found)
	}
	for _, id := range unread {
		terminal, ok, err := r.terminalRecord(ctx, id)
		if err != nil {
			return found, err
		}
		if ok {
			found[id] = terminal
			r.cacheTerminal(id, terminal)
		}
	}
	return found, nil
}

// cacheTerminal caches a terminal record. Terminal records never change, so a retry need not read
// again what an earlier attempt has read.
func (r *Records) cacheTerminal(id string, terminal TerminalRecord) {
	if r.terminalCache != nil {
		r.terminalCache.Add(strings.Clone(id), terminal)
	}
	r.cache.addIfDone(id, terminal)
}

func (r *Records) cachedTerminal(id string) (TerminalRecord, bool) {
	if r.terminalCache == nil {
		return TerminalRecord{}, false
	}
	return r.terminalCache.Get(id)
}

// readTerminalRanges adds the terminal records of jobs to found. Each page that it reads begins at the
// first job not yet read. So the number of requests exceeds neither the number of jobs nor the number
// of pages between the first and the last job.
func (r *Records) readTerminalRanges(ctx context.Context, ids []string, found map[string]TerminalRecord) error {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for len(ids) > 0 {
		page, err := r.readPage(ctx, TerminalPrefix, TerminalPrefix+predecessor(ids[0]))
		if err != nil {
			return err
		}
		for _, e := range page.Entries {
			id := strings.TrimPrefix(e.Key, TerminalPrefix)
			for len(ids) > 0 && ids[0] < id {
				ids = ids[1:] // no terminal record
			}
			if len(ids) == 0 || ids[0] != id {
				continue
			}
			var terminal TerminalRecord
			if err := decodeRecord(e, &terminal); err != nil {
				return err
			}
			found[id] = terminal
			r.cacheTerminal(id, terminal)
			ids = ids[1:]
		}
		if !page.More || len(page.Entries) == 0 {
			return nil
		}
	}
	return nil
}

// predecessor returns a string that sorts before id and after every other job ID that sorts before
// id: the digits, of which the number in a job ID consists, sort before "~".
func predecessor(id string) string {
	last := len(id) - 1
	return id[:last] + string(id[last]-1) + "~"
}
