// Package claimer decides whether a non-idempotent request may run, so that it runs at most once.
//
// The idempotency key of a request hashes to a partition of its cell. The key
// claims/CELL/PARTITION of the key-value service holds the partition's active segment, which is
// only ever written by compare-and-swap on its revision. A request is granted only after the claim
// is known to be in the store, and only by the process that wrote it. Ownership of a partition
// avoids contention; safety comes from the compare-and-swap alone, so two owners at once are safe.
//
// All entries that arrive while a write is in flight go into the next write. This group commit is
// batching as in Optimization 1 of Chapter 10, "Performance vs. Safety": it delays entries, but a
// request is still granted only after its entry has been written.
//
// A write whose outcome is unknown may still take effect until the active segment's revision
// changes. The segment is read to resolve it: while the revision is unchanged, the entries are written
// again at the same revision, and at most one of the writes can succeed; once the revision has
// changed, the unique identifier of each claim shows whether the claim was committed.
//
// A full active segment is sealed: its last entry of each key is copied to
// claims/CELL/PARTITION/REVISION, which is named for the copied revision, and the active segment is
// then replaced by an empty one that lists the copy. The name determines the content of the copy, so
// writing it twice is harmless. A copy that is not listed once the active segment's revision has
// changed can never be listed, and is deleted.
package claimer
