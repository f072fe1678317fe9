package wheatspread.lab.scale;

import java.util.Set;

/**
 * The faults of all links of a fleet at one time.
 *
 * @param loss the share of messages that each link loses, from 0 to 1
 * @param side advertised addresses of the members on one side of a cut; messages between these and all others are
 *     dropped; empty for no cut
 * @param unfiltered advertised addresses of members that have no filter of their own, so that messages to them are
 *     dropped by the sender
 */
public record LinkFaults(double loss, Set<String> side, Set<String> unfiltered) {
    /** Nothing is lost. */
    public static final LinkFaults NONE = new LinkFaults(0, Set.of(), Set.of());

    public LinkFaults {
        side = Set.copyOf(side);
        unfiltered = Set.copyOf(unfiltered);
    }
}
