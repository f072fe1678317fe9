package wheatspread.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * The interpretation of the file names in a store's folder: which files form the log, and which remain from an
 * interrupted operation. Reads no file.
 *
 * @param chain the segments of the log in order; they do not overlap
 * @param gaps the first numbers of segments whose predecessor is missing because a file was lost
 * @param checkpoints the names of the checkpoints, newest first
 * @param leftovers the files to delete: replaced segments and incomplete files
 * @param damagedFiles the damaged files that are kept for the operator
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

    /**
     * Classifies the names of a folder.
     *
     * @throws StoreException if two segments contain the same numbers and neither replaces the other
     */
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
        for (SegmentName candidate : segments) {
            if (segments.stream().anyMatch(other -> other.replaces(candidate))) {
                leftovers.add(candidate.toString());
            } else {
                chain.add(candidate);
            }
        }
        chain.sort(SegmentName.LOG_ORDER);
        List<Integer> gaps = new ArrayList<>();
        int expectedFirst = 1;
        for (int i = 0; i < chain.size(); i++) {
            SegmentName segment = chain.get(i);
            if (i > 0 && segment.overlaps(chain.get(i - 1))) {
                throw new OverlappingSegmentsException(chain.get(i - 1), segment);
            }
            if (segment.first() != expectedFirst) {
                gaps.add(segment.first());
            }
            expectedFirst = segment.last() + 1;
        }
        return new Layout(
                List.copyOf(chain),
                List.copyOf(gaps),
                List.copyOf(checkpoints.descendingMap().values()),
                List.copyOf(leftovers),
                List.copyOf(damagedFiles));
    }

    /** Returns the number of the next new segment. */
    int nextNumber() {
        return chain.isEmpty() ? 1 : chain.get(chain.size() - 1).last() + 1;
    }
}
