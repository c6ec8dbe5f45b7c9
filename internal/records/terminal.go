package records

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// maxCachedTerminal is how many ends are remembered: more than one submission can name.
const maxCachedTerminal = 8192

// TerminalRecords reads how jobs ended that are not active. What never ended is left out. What
// was read before a failure is returned with it.
func (r *Records) TerminalRecords(ctx context.Context, ids []string) (map[string]TerminalRecord, error) {
	ends := make(map[string]TerminalRecord, len(ids))
	var unread []string
	for _, id := range ids {
		if end, ok := r.cachedTerminal(id); ok {
			ends[id] = end
			r.cache.jobEnded(id, end)
		} else {
			unread = append(unread, id)
		}
	}
	if len(unread) > maxSingleReads {
		return ends, r.readTerminalRanges(ctx, unread, ends)
	}
	for _, id := range unread {
		end, found, err := r.terminalRecord(ctx, id)
		if err != nil {
			return ends, err
		}
		if found {
			ends[id] = end
			r.cacheTerminal(id, end)
		}
	}
	return ends, nil
}

// cacheTerminal notes how a job ended. That never changes, so what one try has read
// the next need not.
func (r *Records) cacheTerminal(id string, end TerminalRecord) {
	if r.terminalCache != nil {
		r.terminalCache.Add(strings.Clone(id), end)
	}
	r.cache.jobEnded(id, end)
}

func (r *Records) cachedTerminal(id string) (TerminalRecord, bool) {
	if r.terminalCache == nil {
		return TerminalRecord{}, false
	}
	return r.terminalCache.Get(id)
}

// readTerminalRanges reads how jobs ended, in ranges that each begin at one of them:
// it takes at most a request for each job, and one for each page of final records.
func (r *Records) readTerminalRanges(ctx context.Context, ids []string, ends map[string]TerminalRecord) error {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for len(ids) > 0 {
		p, err := r.readPage(ctx, TerminalPrefix, TerminalPrefix+predecessor(ids[0]))
		if err != nil {
			return err
		}
		for _, e := range p.Entries {
			id := strings.TrimPrefix(e.Key, TerminalPrefix)
			for len(ids) > 0 && ids[0] < id {
				ids = ids[1:] // never ended
			}
			if len(ids) == 0 || ids[0] != id {
				continue
			}
			var f TerminalRecord
			if err := json.Unmarshal(e.Value, &f); err != nil {
				return fmt.Errorf("record %s: %w", e.Key, err)
			}
			ends[id] = f
			r.cacheTerminal(id, f)
			ids = ids[1:]
		}
		if !p.More || len(p.Entries) == 0 {
			return nil
		}
	}
	return nil
}

// predecessor is a string that comes before a job's name and after all other names
// that do.
func predecessor(id string) string {
	last := len(id) - 1
	return id[:last] + string(id[last]-1) + "~"
}
