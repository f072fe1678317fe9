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
 * them. A run never spans a gap, because the new segment would claim the numbers of a lost file. For the
 * writer's thread alone.
 */
final class CompactionPlanner {
    private final Disk disk;
    private final StoreSettings settings;
    private final LongSupplier random;
    private final SegmentCatalog catalog;
    private final SegmentWriter writer;
    private final CompactionPolicy policy;
    /** The numbers before which files are missing. */
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

    /** Runs may span gaps from now on: the caller accepts the loss. */
    void acceptGaps() {
        gaps.clear();
    }

    /** The compaction with the best ratio of benefit to cost; null if none is due. */
    CompactionJob choose(long nowMillis, long usedBytes) {
        boolean pressed = policy.isUnderPressure(usedBytes);
        for (List<Segment> part : sealedRuns()) {
            List<CompactionPolicy.Candidate> candidates = part.stream()
                    .map(one ->
                            new CompactionPolicy.Candidate(one.validBytes(), one.liveBytes(), one.latestExpiryMillis()))
                    .toList();
            CompactionPolicy.Run run = policy.choose(candidates, nowMillis, pressed);
            if (run != null) {
                return compaction(part.subList(run.from(), run.to() + 1), nowMillis);
            }
        }
        return null;
    }

    /** Neighbours that are not written to any more and between which none is lost. */
    private List<List<Segment>> sealedRuns() {
        List<List<Segment>> runs = new ArrayList<>();
        List<Segment> run = new ArrayList<>();
        for (Segment one : catalog.chain()) {
            if (gaps.contains(one.name().first()) && !run.isEmpty()) {
                runs.add(run);
                run = new ArrayList<>();
            }
            if (one != writer.active()) {
                run.add(one);
            }
        }
        runs.add(run);
        return runs;
    }

    /** Neighbours from a number on whose living records make about one segment; empty if there are none. */
    List<Segment> nextRun(int from) {
        for (List<Segment> part : sealedRuns()) {
            List<Segment> run = new ArrayList<>();
            long live = 0;
            for (Segment one : part) {
                if (one.name().first() >= from) {
                    live += one.liveBytes();
                    if (!run.isEmpty() && live > settings.segmentBytes()) {
                        return run;
                    }
                    run.add(one);
                }
            }
            if (!run.isEmpty()) {
                return run;
            }
        }
        return List.of();
    }

    /** A job that rewrites a run of neighbours as one segment. */
    CompactionJob compaction(List<Segment> run, long nowMillis) {
        int first = run.get(0).name().first();
        int last = run.get(run.size() - 1).name().last();
        int generation =
                run.stream().mapToInt(one -> one.name().generation()).max().orElse(0) + 1;
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

    /** The segments before a number whose cuts are still needed: a rewritten one has a seal. */
    private Set<Integer> originalsBefore(int first) {
        Set<Integer> numbers = new HashSet<>();
        for (Segment one : catalog.chain()) {
            if (one.name().isOriginal() && one.name().first() < first) {
                numbers.add(one.name().first());
            }
        }
        return numbers;
    }
}
