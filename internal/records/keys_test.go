package records

import "testing"

func TestCompletionKeys(t *testing.T) {
	if id, first, ok := ParseCompletionKey(CompletionKey("job-1", 32768)); id != "job-1" || first != 32768 || !ok {
		t.Errorf("%s %d %v", id, first, ok)
	}
	for _, bad := range []string{"p/job-1", "p/job-1/x", "p/job-1/-1", ""} {
		if _, _, ok := ParseCompletionKey(bad); ok {
			t.Errorf("%q was taken", bad)
		}
	}
}
