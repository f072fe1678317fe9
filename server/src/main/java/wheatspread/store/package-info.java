/**
 * An embedded key-value store: a log of segments with an index in memory (J. Sheehy, D. Smith, "Bitcask: A
 * Log-Structured Hash Table for Fast Key/Value Data", 2010), group commit, checkpoints of the index, compaction, and
 * recovery after a crash. It owns the file format ({@code store.proto} and {@code docs/design/store.md}), the threads
 * of an open store, and the guarantee that an acknowledged write survives a crash. It does not know requests,
 * connections, settings files or the meaning of the keys, and it accesses the file system only through {@link
 * wheatspread.disk.Disk}.
 */
package wheatspread.store;
