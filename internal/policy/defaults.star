# The embedded defaults. An operators' script sets any of these names anew.

# Shares by which the teams' queues are served in turn. A team that is not
# named has its guarantee as its share.
team_shares = {}

# Preferences of classes of jobs: among jobs of a team that can be in time, and of
# the same priority, those of a class with a higher number are served first. A
# class that is not named has 0.
class_preference = {}

# How many of its estimates a task may run before it may be restarted, once, on
# another machine; 0 restarts none.
restart_limit = 2.0

# Whether spot machines are rented for jobs that allow them.
use_spot = True

# Part of the demand that is kept free on top of it.
headroom = 0.05

# CPUs that are kept rented even when nothing waits.
min_cpus = 0.0

# How long, in seconds, machines are kept for a burst like the last: what was
# needed at most within this time counts as needed.
hold_s = 30.0

# How long, in seconds, a machine stays empty before it is given back.
idle_return_s = 12.0

# How long, in seconds, the leader's lease lasts without renewal: an outage of
# the state service up to this long does not end the leadership, and a leader
# that never comes back is replaced after it.
leader_lease_s = 30.0

# Where cells lend each other capacity: how long, in seconds, a job must have waited
# before it is lent, and by how much sooner it must be expected to begin there.
spill_after_s = 10.0
spill_gain_s = 15.0

# How often a job may be lent, and after what time, in seconds, to the same cell again.
spill_lends = 3
spill_cooldown_s = 60.0

# The part of this cell's CPUs that jobs of other cells may use.
guest_share = 0.5
