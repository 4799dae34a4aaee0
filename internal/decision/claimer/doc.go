// Package claimer decides whether a non-idempotent request may run, so that it runs at most once.
//
// The idempotency key of a request hashes to a partition of its cell. The key
// claims/CELL/PARTITION of the key-value service holds the partition's active segment, which is
// only ever written by compare-and-swap on its revision. A request is granted only after the claim
// is known to be in the store, and only by the process that wrote it. Ownership of a partition
// avoids contention; safety comes from the swap alone, so two owners at once do no harm.
//
// All entries that arrive while a write is in flight go into the next write. This group commit is
// batching as in Optimization 1 of Chapter 10, "Performance vs. Safety": it changes when an entry
// is written and never whether it is written before the request is granted.
//
// A write whose outcome is unknown may still take effect until the active segment's revision has
// moved. It is settled by reading the segment: while the revision stands, the entries are written
// again at the same revision, and at most one of the writes can succeed; once the revision has
// moved, each claim's unique identifier tells whether it landed.
//
// A full active segment is copied to claims/CELL/PARTITION/REVISION, named for the revision that it
// copies, with only the last entry of each key, and then replaced by an empty one that lists the copy. The copy's content is a function
// of its name, so writing it twice is harmless. A copy that is not listed when the active segment's
// revision has moved past its name can never be listed, and is deleted.
package claimer
