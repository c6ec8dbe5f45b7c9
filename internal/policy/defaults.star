# Default values of all settings. The operators' script overrides a setting by assigning its name.

# Fair-share weights of the teams, by team name. A team without an entry has its guarantee as its
# weight.
team_shares = {}

# Preferences of job classes, by class name. Among a team's jobs that can meet their objectives and are
# equally urgent, those of the class with the highest preference are served first. A class without an
# entry has preference 0.
class_preference = {}

# The multiple of its estimated run time after which a task may be restarted on another machine, at
# most once. 0 disables such restarts.
restart_limit = 2.0

# Whether spot machines are launched for jobs that allow them.
use_spot = True

# Capacity kept in addition to the demand, as a fraction of the demand.
headroom = 0.05

# Smallest size of the fleet in CPUs, kept even without demand.
min_cpus = 0.0

# Length, in seconds, of the window over which the peak demand is determined. The fleet is kept large
# enough for this peak, in case another burst of jobs arrives.
hold_s = 30.0

# How long, in seconds, a machine must be empty before it may be terminated.
idle_return_s = 12.0

# Lifetime, in seconds, of the leader lease without renewal. A leader that fails permanently is replaced
# after this time. An outage of the key-value store that is no longer than this does not end the
# leadership.
leader_lease_s = 30.0

# Conditions for lending a job to another cell: how long, in seconds, it must have waited, and by how
# many seconds sooner it must be expected to start there.
spill_after_s = 10.0
spill_gain_s = 15.0

# How many times a job may be lent, and how long, in seconds, it may not be lent to the same cell again
# after it was reclaimed from there.
spill_lends = 3
spill_cooldown_s = 60.0

# Fraction of this cell's CPUs that the jobs of other cells may use.
guest_share = 0.5
