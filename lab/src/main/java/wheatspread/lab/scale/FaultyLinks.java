package wheatspread.lab.scale;

import java.util.random.RandomGenerator;
import wheatspread.peers.LinkFilter;

/**
 * The links of one hollow member under the faults that hold. Messages are dropped where they are received, so that
 * sending them costs what it costs on a lossy network; those to members without a filter are dropped by the sender.
 * Faults are set by any thread, messages pass on the event loop's.
 */
final class FaultyLinks implements LinkFilter {
    private final String own;
    private final RandomGenerator random;
    private volatile LinkFaults faults = LinkFaults.NONE;

    /** The links of the member that advertises the address {@code own}. */
    FaultyLinks(String own, RandomGenerator random) {
        this.own = own;
        this.random = random;
    }

    void set(LinkFaults now) {
        faults = now;
    }

    @Override
    public boolean sends(String to) {
        LinkFaults now = faults;
        return !now.unfiltered().contains(to) || passes(now, to);
    }

    @Override
    public boolean receives(String from) {
        return passes(faults, from);
    }

    private boolean passes(LinkFaults now, String other) {
        boolean cut = now.side().contains(own) != now.side().contains(other);
        return !cut && (now.loss() == 0 || random.nextDouble() >= now.loss());
    }
}
