package wheatspread.store;

import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The file name of a segment: which numbers of the log it holds, and how often they have been compacted. A file as
 * first written holds one number in generation 0.
 */
record SegmentName(int first, int last, int generation) {
    static final Comparator<SegmentName> LOG_ORDER = Comparator.comparingInt(SegmentName::first)
            .thenComparingInt(SegmentName::last)
            .thenComparingInt(SegmentName::generation);
    /** Suffix of a file that is being written. */
    static final String TEMPORARY_SUFFIX = ".new";
    /** Suffix of a damaged file that is kept for the operator. */
    static final String DAMAGED_SUFFIX = ".damaged";

    private static final Pattern PATTERN = Pattern.compile("(\\d{8,10})-(\\d{8,10})\\.(\\d{1,9})\\.log");

    static SegmentName original(int number) {
        return new SegmentName(number, number, 0);
    }

    /** Null for the name of something else. */
    static SegmentName parse(String text) {
        Matcher form = PATTERN.matcher(text);
        if (!form.matches()) {
            return null;
        }
        long first = Long.parseLong(form.group(1));
        long last = Long.parseLong(form.group(2));
        boolean right = first >= 1 && first <= last && last < Integer.MAX_VALUE;
        return right ? new SegmentName((int) first, (int) last, Integer.parseInt(form.group(3))) : null;
    }

    boolean isOriginal() {
        return generation == 0;
    }

    /** Whether this one was written in place of the other. */
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
