package wheatspread.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * What the names in a store's folder mean: which files make up the log, and which are left over from work
 * that a crash cut short. Reads no file.
 *
 * @param chain the files of the log in its order, disjoint
 * @param gaps the numbers before which some are missing: a file was lost
 * @param checkpoints their names, the newest first
 * @param leftovers what is to be deleted: files that others were written in place of, and those not
 *     finished
 * @param damagedFiles damaged files that are kept for the operator
 */
record Layout(
        List<SegmentName> chain,
        List<Integer> gaps,
        List<String> checkpoints,
        List<String> leftovers,
        List<String> damagedFiles) {
    private static final String CHECKPOINT = "\\d{1,19}\\.checkpoint";

    static String checkpointName(long number) {
        return String.format("%010d.checkpoint", number);
    }

    static long checkpointNumber(String name) {
        return Long.parseLong(name.substring(0, name.indexOf('.')));
    }

    /** @throws StoreException if two files hold the same numbers and neither replaces the other */
    static Layout of(Collection<String> names) throws StoreException {
        List<SegmentName> segments = new ArrayList<>();
        TreeMap<Long, String> checkpoints = new TreeMap<>();
        List<String> leftovers = new ArrayList<>();
        List<String> damagedFiles = new ArrayList<>();
        for (String name : names) {
            SegmentName segment = SegmentName.parse(name);
            if (segment != null) {
                segments.add(segment);
            } else if (name.matches(CHECKPOINT)) {
                checkpoints.put(checkpointNumber(name), name);
            } else if (name.endsWith(SegmentName.TEMPORARY_SUFFIX)) {
                leftovers.add(name);
            } else if (name.endsWith(SegmentName.DAMAGED_SUFFIX)) {
                damagedFiles.add(name);
            }
        }
        List<SegmentName> chain = new ArrayList<>();
        for (SegmentName one : segments) {
            if (segments.stream().anyMatch(other -> other.replaces(one))) {
                leftovers.add(one.toString());
            } else {
                chain.add(one);
            }
        }
        chain.sort(SegmentName.LOG_ORDER);
        List<Integer> gaps = new ArrayList<>();
        int next = 1;
        for (int i = 0; i < chain.size(); i++) {
            SegmentName one = chain.get(i);
            if (i > 0 && one.overlaps(chain.get(i - 1))) {
                throw new OverlappingSegmentsException(chain.get(i - 1), one);
            }
            if (one.first() != next) {
                gaps.add(one.first());
            }
            next = one.last() + 1;
        }
        return new Layout(
                List.copyOf(chain),
                List.copyOf(gaps),
                List.copyOf(checkpoints.descendingMap().values()),
                List.copyOf(leftovers),
                List.copyOf(damagedFiles));
    }

    /** The number that the next segment gets. */
    int nextNumber() {
        return chain.isEmpty() ? 1 : chain.get(chain.size() - 1).last() + 1;
    }
}
