package wheatspread.store;

/**
 * Statistics of an open store.
 *
 * @param keys the number of index entries, including expired entries that have not been swept yet
 * @param indexBytes the bytes of heap that the index occupies
 * @param usedBytes the bytes of all files
 * @param liveBytes the bytes of records that index entries point to
 * @param suspectedKeys the number of keys whose newest write may be lost to damage
 * @param allKeysSuspected whether any key may be affected, because the hashes are lost as well
 */
public record StoreStats(
        int keys,
        long indexBytes,
        int segments,
        long usedBytes,
        long liveBytes,
        int suspectedKeys,
        boolean allKeysSuspected,
        WriteState.Mode mode,
        Counters counters) {

    /**
     * Counters that only increase while the store is open. Only the writer thread changes them; other threads read a
     * {@link #copy}.
     */
    public static final class Counters {
        private long writes;
        private long rejectedWrites;
        private long groups;
        private long syncs;
        private long writtenBytes;
        private long expired;
        private long compactions;
        private long compactedBytes;
        private long checkpoints;
        private long failures;

        void countWrites(int count) {
            writes += count;
        }

        void countRejected(int count) {
            rejectedWrites += count;
        }

        void countGroup(int bytes) {
            groups++;
            writtenBytes += bytes;
        }

        void countSync() {
            syncs++;
        }

        void countExpired() {
            expired++;
        }

        void countCompaction(long bytes) {
            compactions++;
            compactedBytes += bytes;
        }

        void countCheckpoint() {
            checkpoints++;
        }

        void countFailure() {
            failures++;
        }

        Counters copy() {
            Counters copy = new Counters();
            copy.writes = writes;
            copy.rejectedWrites = rejectedWrites;
            copy.groups = groups;
            copy.syncs = syncs;
            copy.writtenBytes = writtenBytes;
            copy.expired = expired;
            copy.compactions = compactions;
            copy.compactedBytes = compactedBytes;
            copy.checkpoints = checkpoints;
            copy.failures = failures;
            return copy;
        }

        public long writes() {
            return writes;
        }

        public long rejectedWrites() {
            return rejectedWrites;
        }

        public long groups() {
            return groups;
        }

        public long syncs() {
            return syncs;
        }

        public long writtenBytes() {
            return writtenBytes;
        }

        public long expired() {
            return expired;
        }

        public long compactions() {
            return compactions;
        }

        public long compactedBytes() {
            return compactedBytes;
        }

        public long checkpoints() {
            return checkpoints;
        }

        public long failures() {
            return failures;
        }
    }
}
