package wheatspread.store;

/**
 * What a store holds and has done since it was opened.
 *
 * @param keys that are held, those not counted out yet that have expired just now
 * @param indexBytes of heap
 * @param usedBytes of all files, {@code liveBytes} of the records that count
 * @param doubtfulKeys whose newest write is lost to damage; {@code allInDoubt} if their names are, too
 */
public record StoreStats(
        int keys,
        long indexBytes,
        int segments,
        long usedBytes,
        long liveBytes,
        int doubtfulKeys,
        boolean allInDoubt,
        WriteState.Mode mode,
        Counters counters) {

    /** Numbers that only grow. Sizes are bytes. */
    public static final class Counters {
        long writes;
        long refused;
        long groups;
        long syncs;
        long writtenBytes;
        long expired;
        long compactions;
        long compactedBytes;
        long checkpoints;
        long failures;

        Counters copy() {
            Counters copy = new Counters();
            copy.writes = writes;
            copy.refused = refused;
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

        public long refused() {
            return refused;
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
