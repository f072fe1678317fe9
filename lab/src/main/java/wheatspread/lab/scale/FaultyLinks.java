package wheatspread.lab.scale;

import java.util.random.RandomGenerator;
import wheatspread.peers.LinkFilter;

/**
 * Applies the current link faults to the messages of one hollow member. The receiver drops messages, so that sending
 * them costs as much as on a lossy network; the sender drops messages to members without a filter. Any thread may set
 * the faults; messages are filtered on the event loop's thread.
 */
final class FaultyLinks implements LinkFilter {
    private final String ownAddress;
    private final RandomGenerator random;
    private volatile LinkFaults faults = LinkFaults.NONE;

    /** {@code ownAddress} is the address that the member advertises. */
    FaultyLinks(String ownAddress, RandomGenerator random) {
        this.ownAddress = ownAddress;
        this.random = random;
    }

    void set(LinkFaults newFaults) {
        faults = newFaults;
    }

    @Override
    public boolean sends(String to) {
        LinkFaults current = faults;
        return !current.unfiltered().contains(to) || passes(current, to);
    }

    @Override
    public boolean receives(String from) {
        return passes(faults, from);
    }

    private boolean passes(LinkFaults current, String other) {
        boolean partitioned = current.partitionSide().contains(ownAddress)
                != current.partitionSide().contains(other);
        return !partitioned && (current.lossShare() == 0 || random.nextDouble() >= current.lossShare());
    }
}
