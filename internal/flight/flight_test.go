package flight

import "testing"

func TestMembersPullEveryTaskOnce(t *testing.T) {
	f := New(1000)
	members := []string{"a", "b", "c"}
	for _, m := range members {
		f.Join(m)
	}
	seen := map[int]bool{}
	for f.Untaken() > 0 {
		for _, m := range members {
			if task, ok := f.Pull(m); ok {
				if seen[task] {
					t.Fatalf("task %d pulled twice", task)
				}
				seen[task] = true
			}
		}
	}
	if len(seen) != 1000 {
		t.Errorf("%d tasks pulled, want 1000", len(seen))
	}
	if _, ok := f.Pull("a"); ok {
		t.Error("a member pulled a task although all are taken")
	}
}

func TestListsAreRotatedByMemberIndex(t *testing.T) {
	f := New(100)
	first := map[int]bool{}
	for _, m := range []string{"a", "b", "c", "d"} {
		f.Join(m)
		task, _ := f.Pull(m)
		first[task] = true
	}
	if len(first) != 4 || !first[0] {
		t.Errorf("first tasks pulled by the members: %v, want four tasks, one of them 0", first)
	}
	for a := range first {
		for b := range first {
			if a != b && a-b < 5 && b-a < 5 {
				t.Errorf("first tasks pulled by the members: %v, want them at least 5 apart", first)
			}
		}
	}
}

func TestPullExceptSkipsExcludedTasks(t *testing.T) {
	f := New(5)
	f.Join("a")
	f.Join("b")
	for range 4 {
		if task, ok := f.PullExcept("a", func(task int) bool { return task == 2 }); !ok || task == 2 {
			t.Fatalf("pulled task %d, %v, want a task other than 2", task, ok)
		}
	}
	if _, ok := f.PullExcept("a", func(task int) bool { return task == 2 }); ok {
		t.Error("a member pulled the excluded task")
	}
	if task, ok := f.Pull("b"); !ok || task != 2 {
		t.Errorf("another member pulled task %d, %v, want 2, true", task, ok)
	}
	f.Release(3)
	f.Release(3)
	if f.Untaken() != 1 || !f.Take(3) || f.Take(3) || f.Untaken() != 0 {
		t.Error("a task that was released or taken twice is counted twice")
	}
}

func TestOnlyMembersPull(t *testing.T) {
	f := New(3)
	if _, ok := f.Pull("a"); ok {
		t.Error("a machine that is not a member pulled a task")
	}
	f.Join("a")
	f.Leave("a")
	if _, ok := f.Pull("a"); ok || f.IsMember("a") {
		t.Error("a machine that left is a member, or pulled a task")
	}
}
