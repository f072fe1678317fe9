package wheatspread.store;

/**
 * What a store holds and has done since it was opened.
 *
 * @param keys that are held, those not counted out yet that have expired just now
 * @param indexBytes of heap
 * @param usedBytes of all files, {@code liveBytes} of the records that count
 * @param suspectedKeys whose newest write is lost to damage; {@code allKeysSuspected} if their names are, too
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
     * Counters that only increase while the store is open. The writer's thread changes them; {@link #copy} is for
     * others.
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
