// Package recordwriter writes the leader's state changes to the key-value store: ends of jobs,
// derived cancellations, completed tasks, the machine registry, and deletions of obsolete records.
//
// Changes are queued and written in batches, one transaction at a time, within a share of the write
// rate. The caller builds a Batch with NextBatch, sends its transaction and passes the result to
// Apply, which returns an Outcome: the changes to make to jobs and machines. A Writer must be used by
// one goroutine only. It does no I/O, reads no clock and takes no locks.
//
// The registry is the durable list of machines that may hold tasks. It is split into shards, one
// record each. An extra entry is safe and costs the next leader one resync. A missing entry can cause
// a task to run twice. So a machine counts as registered only after a shard that names it has been
// written. From then until the machine is terminated, at least one shard names it, whether a
// transaction is applied, rejected, applied without a response, or applied late.
//
// Every batch compares the term, so a leader whose term has ended cannot change any record. A batch
// with an unknown outcome is queued again, although it may have been applied. Ends and cancellations
// of jobs compare the version of the job's active record, which they delete: if the first try was
// applied, the compare of the second fails, and the job's outcome is read from the store. A shard key
// is never reused.
package recordwriter
