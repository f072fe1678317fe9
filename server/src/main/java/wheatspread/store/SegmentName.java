package wheatspread.store;

import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The file name of a segment: the range of log numbers that it contains, both ends inclusive, and how often they
 * have been compacted. A segment that has not been compacted contains a single number and has generation 0.
 */
record SegmentName(int first, int last, int generation) {
    static final Comparator<SegmentName> LOG_ORDER = Comparator.comparingInt(SegmentName::first)
            .thenComparingInt(SegmentName::last)
            .thenComparingInt(SegmentName::generation);
    /** The suffix of a file that is being written. */
    static final String TEMPORARY_SUFFIX = ".new";
    /** The suffix of a damaged file that is kept for the operator. */
    static final String DAMAGED_SUFFIX = ".damaged";

    private static final Pattern PATTERN = Pattern.compile("(\\d{8,10})-(\\d{8,10})\\.(\\d{1,9})\\.log");

    static SegmentName original(int number) {
        return new SegmentName(number, number, 0);
    }

    /** Parses a file name; returns null if it is not the name of a segment. */
    static SegmentName parse(String fileName) {
        Matcher matcher = PATTERN.matcher(fileName);
        if (!matcher.matches()) {
            return null;
        }
        long first = Long.parseLong(matcher.group(1));
        long last = Long.parseLong(matcher.group(2));
        boolean isValid = first >= 1 && first <= last && last < Integer.MAX_VALUE;
        return isValid ? new SegmentName((int) first, (int) last, Integer.parseInt(matcher.group(3))) : null;
    }

    boolean isOriginal() {
        return generation == 0;
    }

    /** Returns whether this segment is a compaction that includes the other segment. */
    boolean replaces(SegmentName other) {
        return first <= other.first && last >= other.last && generation > other.generation;
    }

    boolean overlaps(SegmentName other) {
        return first <= other.last && other.first <= last;
    }

    @Override
    public String toString() {
        return String.format("%08d-%08d.%d.log", first, last, generation);
    }
}
