package wheatspread.lab.scale;

import java.util.Map;

/**
 * What all members of a fleet hold and have sent at one moment.
 *
 * @param nanos when, by {@link System#nanoTime}
 * @param members living members, hollow and real
 * @param views how many living members hold each view
 * @param old living hollow members that say that their view is old
 * @param outside living hollow members in no view
 * @param distrusting living hollow members that wait longer than usual before they accuse others
 * @param messages messages sent by hollow members since the start of the fleet
 * @param bytes bytes sent, likewise
 * @param overRate messages that hollow members dropped since they came too fast, likewise
 * @param agreed whether every living member holds one and the same view, of all living members, and none says that
 *     it is old
 */
record Observation(
        long nanos,
        int members,
        Map<ViewKey, Integer> views,
        int old,
        int outside,
        int distrusting,
        long messages,
        long bytes,
        long overRate,
        boolean agreed) {}
