package cluster

// Shard is one record of the machine registry.
//
// A record is never overwritten: a transaction with an unknown outcome may be applied late, and would
// then restore an earlier list without the machines added since. Each shard therefore has a unique
// key, made of the term and a counter. A shard that is written late lists only machines that are in
// another shard as well or were terminated.
type Shard struct {
	Key      string
	Machines []*Machine
	// Stale is set while the shard lists terminated machines, or machines that another shard lists
	// too, and is queued to be rewritten or deleted.
	Stale bool
	// Replaces is the shard from which this one takes over machines.
	Replaces *Shard
	// PossibleReplacementKeys holds the keys of shards written to replace this one, with unknown
	// outcomes. They are deleted together with this shard when the next replacement is written,
	// since until then one of them may be the only record of the machines.
	PossibleReplacementKeys []string
	// PartialReplacement is set if this shard takes over only some machines of the shard that it
	// replaces. That one is kept until all of its machines are in other shards.
	PartialReplacement bool
}
