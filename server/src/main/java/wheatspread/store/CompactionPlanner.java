package wheatspread.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import wheatspread.disk.Disk;

/**
 * Chooses runs of neighbouring sealed segments with {@link CompactionPolicy} and creates the jobs that compact
 * them. A run never spans a gap, because the new segment would cover the numbers of a lost file.
 * Confined to the writer thread.
 */
final class CompactionPlanner {
    private final Disk disk;
    private final StoreSettings settings;
    private final LongSupplier random;
    private final SegmentCatalog catalog;
    private final SegmentWriter writer;
    private final CompactionPolicy policy;
    /** The numbers of segments whose predecessor is missing. */
    private final Set<Integer> gaps;

    CompactionPlanner(StoreContext context, Collection<Integer> gaps, SegmentWriter writer) {
        disk = context.disk();
        settings = context.settings();
        random = context.random();
        catalog = context.catalog();
        this.writer = writer;
        policy = new CompactionPolicy(settings);
        this.gaps = new HashSet<>(gaps);
    }

    /** Lets later runs span gaps, after the operator has accepted the loss. */
    void acceptGaps() {
        gaps.clear();
    }

    /** Returns the compaction with the best ratio of benefit to cost, or null if none is due. */
    CompactionJob choose(long nowMillis, long usedBytes) {
        boolean underPressure = policy.isUnderPressure(usedBytes);
        for (List<Segment> sealed : sealedRuns()) {
            List<CompactionPolicy.Candidate> candidates = sealed.stream()
                    .map(segment -> new CompactionPolicy.Candidate(
                            segment.validBytes(), segment.liveBytes(), segment.latestExpiryMillis()))
                    .toList();
            CompactionPolicy.Run run = policy.choose(candidates, nowMillis, underPressure);
            if (run != null) {
                return createJob(sealed.subList(run.from(), run.to() + 1), nowMillis);
            }
        }
        return null;
    }

    /** Returns runs of neighbouring segments without the active segment, split where a segment is missing. */
    private List<List<Segment>> sealedRuns() {
        List<List<Segment>> runs = new ArrayList<>();
        List<Segment> run = new ArrayList<>();
        for (Segment segment : catalog.chain()) {
            if (gaps.contains(segment.name().first()) && !run.isEmpty()) {
                runs.add(run);
                run = new ArrayList<>();
            }
            if (segment != writer.active()) {
                run.add(segment);
            }
        }
        runs.add(run);
        return runs;
    }

    /** Returns neighbouring segments, starting at a number, whose live records fill about one segment; may be empty. */
    List<Segment> nextRun(int from) {
        for (List<Segment> sealed : sealedRuns()) {
            List<Segment> run = new ArrayList<>();
            long live = 0;
            for (Segment segment : sealed) {
                if (segment.name().first() >= from) {
                    live += segment.liveBytes();
                    if (!run.isEmpty() && live > settings.segmentBytes()) {
                        return run;
                    }
                    run.add(segment);
                }
            }
            if (!run.isEmpty()) {
                return run;
            }
        }
        return List.of();
    }

    /** Creates a job that compacts a run of neighbouring segments into a single segment. */
    CompactionJob createJob(List<Segment> run, long nowMillis) {
        int first = run.get(0).name().first();
        int last = run.get(run.size() - 1).name().last();
        int generation = run.stream()
                        .mapToInt(segment -> segment.name().generation())
                        .max()
                        .orElse(0)
                + 1;
        return new CompactionJob(
                disk,
                catalog,
                run,
                new CompactionJob.Parameters(
                        new SegmentName(first, last, generation),
                        FileHeader.newMark(random),
                        catalog.isExpiredBefore(first, nowMillis),
                        originalsBefore(first),
                        nowMillis,
                        settings.lossUntilMillis(nowMillis)));
    }

    /** Returns the segments before a number whose cuts are still needed; compacted segments have a seal instead. */
    private Set<Integer> originalsBefore(int first) {
        Set<Integer> numbers = new HashSet<>();
        for (Segment segment : catalog.chain()) {
            if (segment.name().isOriginal() && segment.name().first() < first) {
                numbers.add(segment.name().first());
            }
        }
        return numbers;
    }
}
