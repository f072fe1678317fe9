package wheatspread.store;

import java.util.List;

/**
 * Chooses which segments to compact. A run of neighbouring segments is rewritten into a single segment; the
 * freed bytes are weighed against the cost, which is reading all of the run and writing its live records (the
 * benefit-to-cost ratio of M. Rosenblum, J. Ousterhout, "The Design and Implementation of a Log-Structured File
 * System", ACM TOCS 10, 1992, without the weight for age, since a record here states its expiry). Stateless; no
 * I/O, no clock.
 */
final class CompactionPolicy {
    /** The maximum number of segments in a run. */
    static final int MAX_RUN_SEGMENTS = 16;
    /** This many small neighbouring segments are merged even if they contain no dead records. */
    static final int MIN_SMALL_RUN_SEGMENTS = 8;
    /** The minimum dead share of a run while the used space is near its limit. */
    static final double MIN_DEAD_SHARE_UNDER_PRESSURE = 0.05;

    /** The overhead of a segment with a single group: its header, the group's frame and the seal. */
    private static final long FIXED_SEGMENT_BYTES = FileHeader.HEADER_BYTES + 96;

    /** The sizes of a sealed segment; {@code latestExpiryMillis} is the latest expiry of its records. */
    record Candidate(long bytes, long liveBytes, long latestExpiryMillis) {}

    /** The candidates with the indexes {@code from} to {@code to}, both inclusive. */
    record Run(int from, int to) {}

    private final StoreSettings settings;

    CompactionPolicy(StoreSettings settings) {
        this.settings = settings;
    }

    /** Returns whether so much space is used that a small dead share justifies a compaction. */
    boolean isUnderPressure(long usedBytes) {
        return usedBytes + settings.reserveBytes() > settings.maxStoreBytes() * 0.75;
    }

    /** Returns the run to compact next, or null; {@code sealed} are neighbouring segments in log order. */
    Run choose(List<Candidate> sealed, long nowMillis, boolean underPressure) {
        Run best = null;
        double bestScore = 0;
        double minDeadShare = underPressure ? MIN_DEAD_SHARE_UNDER_PRESSURE : settings.compactionMinDeadShare();
        for (int from = 0; from < sealed.size(); from++) {
            long bytes = 0;
            long live = 0;
            for (int to = from; to < sealed.size() && to - from < MAX_RUN_SEGMENTS; to++) {
                Candidate candidate = sealed.get(to);
                if (!underPressure && expiresSoon(candidate, nowMillis)) {
                    break;
                }
                bytes += candidate.bytes();
                live += candidate.latestExpiryMillis() <= nowMillis ? 0 : candidate.liveBytes();
                if (live > settings.segmentBytes()) {
                    break;
                }
                long dead = bytes - live - FIXED_SEGMENT_BYTES;
                boolean isSmall = to - from + 1 >= MIN_SMALL_RUN_SEGMENTS && bytes <= settings.segmentBytes() / 2;
                double score = (double) Math.max(dead, 0) / (bytes + live);
                if ((dead >= minDeadShare * bytes || isSmall) && (best == null || score > bestScore)) {
                    best = new Run(from, to);
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** Returns whether all records of a segment expire soon, so that it becomes free without a compaction. */
    private boolean expiresSoon(Candidate candidate, long nowMillis) {
        return candidate.latestExpiryMillis() > nowMillis
                && candidate.latestExpiryMillis() - nowMillis <= settings.compactionMaxWaitMillis();
    }
}
