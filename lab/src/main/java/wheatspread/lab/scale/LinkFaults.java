package wheatspread.lab.scale;

import java.util.Set;

/**
 * The faults that apply to all links of a fleet.
 *
 * @param lossShare share of messages that each link loses, from 0 to 1
 * @param partitionSide advertised addresses of the members on one side of a partition; messages between these and
 *     all other members are dropped; empty for no partition
 * @param unfiltered advertised addresses of members without a link filter; the sender drops messages to them
 */
public record LinkFaults(double lossShare, Set<String> partitionSide, Set<String> unfiltered) {
    /** No message is lost. */
    public static final LinkFaults NONE = new LinkFaults(0, Set.of(), Set.of());

    public LinkFaults {
        partitionSide = Set.copyOf(partitionSide);
        unfiltered = Set.copyOf(unfiltered);
    }
}
