package records

import "testing"

func TestCompletionKeyRoundTrip(t *testing.T) {
	id, task, ok := ParseCompletionKey(CompletionKey("job-1", 32768))
	if id != "job-1" || task != 32768 || !ok {
		t.Errorf("got %s, %d, %v, want job-1, 32768, true", id, task, ok)
	}
}

func TestParseCompletionKeyRejects(t *testing.T) {
	for _, key := range []string{"p/job-1", "p/job-1/x", "p/job-1/-1", ""} {
		if _, _, ok := ParseCompletionKey(key); ok {
			t.Errorf("ParseCompletionKey(%q): got ok, want not ok", key)
		}
	}
}
