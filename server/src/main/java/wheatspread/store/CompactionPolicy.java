package wheatspread.store;

import java.util.List;

/**
 * Chooses which segments to compact. A run of neighbouring segments is rewritten into one; the bytes that this
 * frees are weighed against its cost, which is reading all of the run and writing its live records (the
 * benefit-to-cost ratio of M. Rosenblum, J. Ousterhout, "The Design and Implementation of a Log-Structured File
 * System", ACM TOCS 10, 1992, without the weight for age, since a record here states its expiry). Stateless; no
 * I/O, no clock.
 */
final class CompactionPolicy {
    /** Segments in one run at most. */
    static final int MAX_RUN_SEGMENTS = 16;
    /** This many small neighbours are put together even if nothing in them is dead. */
    static final int MIN_SMALL_RUN_SEGMENTS = 8;
    /** When the bound on space is near, less is enough. */
    static final double MIN_DEAD_SHARE_UNDER_PRESSURE = 0.05;

    /** What any file takes that holds one group: its header, the group's frame and the seal. */
    private static final long FIXED_SEGMENT_BYTES = FileHeader.HEADER_BYTES + 96;

    /** What is known of one sealed segment; {@code latestExpiryMillis} is that of its last living record. */
    record Candidate(long bytes, long liveBytes, long latestExpiryMillis) {}

    /** Candidates {@code from} to {@code to}, both included; null stands for none. */
    record Run(int from, int to) {}

    private final StoreSettings settings;

    CompactionPolicy(StoreSettings settings) {
        this.settings = settings;
    }

    /** Whether so much space is used that a small dead share justifies a compaction. */
    boolean isUnderPressure(long usedBytes) {
        return usedBytes + settings.reserveBytes() > settings.maxStoreBytes() * 0.75;
    }

    /** The run to rewrite next, or null; {@code sealed} are neighbours in the log's order. */
    Run choose(List<Candidate> sealed, long nowMillis, boolean pressed) {
        Run best = null;
        double bestScore = 0;
        double minDeadShare = pressed ? MIN_DEAD_SHARE_UNDER_PRESSURE : settings.compactionMinDeadShare();
        for (int from = 0; from < sealed.size(); from++) {
            long bytes = 0;
            long live = 0;
            for (int to = from; to < sealed.size() && to - from < MAX_RUN_SEGMENTS; to++) {
                Candidate one = sealed.get(to);
                if (!pressed && expiresSoon(one, nowMillis)) {
                    break;
                }
                bytes += one.bytes();
                live += one.latestExpiryMillis() <= nowMillis ? 0 : one.liveBytes();
                if (live > settings.segmentBytes()) {
                    break;
                }
                long dead = bytes - live - FIXED_SEGMENT_BYTES;
                boolean small = to - from + 1 >= MIN_SMALL_RUN_SEGMENTS && bytes <= settings.segmentBytes() / 2;
                double score = (double) Math.max(dead, 0) / (bytes + live);
                if ((dead >= minDeadShare * bytes || small) && (best == null || score > bestScore)) {
                    best = new Run(from, to);
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** One that will be free for nothing if it is left alone for a while. */
    private boolean expiresSoon(Candidate one, long nowMillis) {
        return one.latestExpiryMillis() > nowMillis
                && one.latestExpiryMillis() - nowMillis <= settings.compactionMaxWaitMillis();
    }
}
