// Package recordwriter writes the leader's changes to the key-value store: the ends of jobs, derived
// cancellations, completed tasks, the registry of machines, and the deletion of what is no longer
// needed. They are queued, and written in batches, one transaction at a time, within a part of the
// write rate. The owner has the Writer build the next Batch, sends its transaction and passes the
// result to Apply, whose Outcome says what follows for jobs and machines. One goroutine owns the
// Writer; it does no I/O, has no clock and never locks.
//
// The registry is the durable list of machines that may hold tasks. An entry too many is safe, and
// costs the next leader a resync; one too few is a task run twice. So a machine counts as registered
// only once a shard that names it is on record, and from then until its termination at least one
// shard names it, whatever becomes of a transaction: applied, rejected, applied without a response,
// or applied late.
//
// Every batch compares the term, so that a leader whose term is over changes nothing. A batch that
// is not known to have been applied is queued again, and may have been applied all the same. Ends
// and cancellations compare the version of the job's active record, which they delete: the second
// try fails, and how the job ended is read. No shard is written under a key that was used before.
package recordwriter
