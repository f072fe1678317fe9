package wheatspread.lab.scale;

import java.util.Map;

/**
 * The views, states and traffic of all members of a fleet at one instant.
 *
 * @param nanos time of the observation, by {@link System#nanoTime}
 * @param members number of live members, hollow and real
 * @param views number of live members that hold each view
 * @param staleViews number of live hollow members that reach no quorum of their view
 * @param notInView number of live hollow members that are not in the view that they hold, or hold none
 * @param raisedLocalHealth number of live hollow members whose local health multiplier is raised
 * @param messages number of messages that hollow members have sent since the start of the fleet
 * @param bytes number of bytes in these messages
 * @param droppedOverRate number of received messages that hollow members dropped because of the permitted rate
 * @param agreed whether all live members hold the same view, which contains exactly the live members, and none reports
 *     it as stale
 */
record Observation(
        long nanos,
        int members,
        Map<ViewKey, Integer> views,
        int staleViews,
        int notInView,
        int raisedLocalHealth,
        long messages,
        long bytes,
        long droppedOverRate,
        boolean agreed) {}
