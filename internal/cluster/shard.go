package cluster

// Shard is one record of the registry.
//
// A record is never overwritten: a transaction whose outcome is unknown may be
// applied late, and would restore an earlier list, without the machines added
// since. So each shard has a key of its own, of the term and a counter. A shard
// that appears late only names machines that another shard names too, or that
// were terminated.
type Shard struct {
	Key      string
	Machines []*Machine
	// Stale is set while the shard names terminated machines and awaits its rewrite.
	Stale bool
	// Replaces is the shard whose machines this one takes over.
	Replaces *Shard
	// PossibleReplacementKeys are the keys of shards that should have replaced this one, with
	// outcomes unknown. They are deleted only together with it, when the next is
	// written: one of them may be the only record left.
	PossibleReplacementKeys []string
	// PartialReplacement is set if it takes over only some machines of the shard that it
	// replaces, which stays until the rest of them is on record elsewhere too.
	PartialReplacement bool
}
