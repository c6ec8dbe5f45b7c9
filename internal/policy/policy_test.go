package policy

import (
	"strings"
	"testing"
	"time"
)

func TestScriptOverridesDefaults(t *testing.T) {
	p, err := Parse("own.star", `
def seconds(minutes):
    return 60 * minutes
idle_return_s = seconds(2)
team_shares = {name: 2 for name in ["red", "blue"]}
headroom = default_headroom + 1
class_preference = {"merit": 1, "betyg": -0.5}
restart_limit = 0
`)
	if err != nil {
		t.Fatal(err)
	}
	if p.IdleTimeout != 2*time.Minute || p.Share("red", 1) != 2 || p.Share("green", 7) != 7 ||
		p.Headroom < 1 || !p.UseSpot ||
		p.ClassPreferences["merit"] != 1 || p.ClassPreferences["betyg"] != -0.5 || p.RestartLimit != 0 {
		t.Errorf("got %+v, want the defaults overridden by the script's settings", p)
	}
}

func TestInvalidScriptsAreRejected(t *testing.T) {
	for _, c := range []struct{ script, want string }{
		{"headrom = 1", "own.star:1: unknown setting headrom (known: class_preference, guest_share, headroom,"},
		{"_half = 2\nheadroom = -1", "own.star:2: headroom must be a number from 0 to 10, found -1"},
		{"if True:\n    hold_s, headroom = 3, -1", "own.star:2: headroom must be"},
		{"def f():\n    hold_s = 2\n    return -1\nhold_s = f()", "own.star:4: hold_s must be"},
		{"headroom = 'much'", "headroom must be"},
		{"use_spot = 1", "use_spot must be"},
		{"team_shares = {'red': 0}", "team_shares must be"},
		{"class_preference = {'merit': float('nan')}", "class_preference must be"},
		{"class_preference = {1: 1}", "class_preference must be"},
		{"spill_after_s = -1", "spill_after_s must be a number from 0 to 86400"},
		{"spill_lends = 1000", "spill_lends must be a number from 0 to 100"},
		{"guest_share = 1.5", "guest_share must be a number from 0 to 1"},
		{"restart_limit = 0.5", "restart_limit must be"},
		{"team_shares = []", "team_shares must be"},
		{"headroom = (", "own.star:1"},
		{"x = 1\nheadroom = 1 // 0", "own.star:2"},
		{"load('other.star', 'x')", "own.star:1"},
		{"for i in range(100000000):\n    pass", "too many steps"},
		{"leader_lease_s = 1", "leader_lease_s must be"},
	} {
		if p, err := Parse("own.star", c.script); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got policy %v, error %v; want error with %q", c.script, p, err, c.want)
		}
	}
}
