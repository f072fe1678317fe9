package wheatspread.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import wheatspread.membership.Message.Body;

/**
 * Notifies seeds that are not in this view, and so in none or in another cluster's, that this cluster exists. It keeps
 * restarted seeds from forming a second cluster, and lets two clusters find each other.
 */
final class SeedNotifier {
    /** Interval of all members together, so that the load on a seed does not grow with the fleet. */
    private static final long FLEET_INTERVAL_MICROS = 200_000;
    /** Shortest interval of one member, which small fleets use. */
    private static final long MIN_INTERVAL_MICROS = 2_000_000;
    /** Intervals are drawn between 50% and 150% of their length. */
    private static final int MIN_SPREAD_PERCENT = 50;

    private static final int SPREAD_RANGE_PERCENT = 100;

    private final MembershipState state;
    private final List<String> seeds;
    private final RandomGenerator random;
    private final MessageSender sender;
    private long nextNoticeMicros;

    SeedNotifier(MembershipState state, List<String> seeds, RandomGenerator random, MessageSender sender) {
        this.state = state;
        this.seeds = List.copyOf(seeds);
        this.random = random;
        this.sender = sender;
    }

    /** The next time at which {@link #run} looks for absent seeds; {@link Long#MAX_VALUE} where all are members. */
    long nextNoticeMicros() {
        return nextNoticeMicros;
    }

    /** Notifies one absent seed, where it is time. */
    void run(long nowMicros) {
        if (!state.isMember() || nowMicros < nextNoticeMicros) {
            return;
        }
        List<String> absent = new ArrayList<>(seeds);
        state.view().members().forEach(member -> absent.remove(member.address()));
        if (absent.isEmpty()) {
            nextNoticeMicros = Long.MAX_VALUE;
            return;
        }
        long interval = Math.max(
                MIN_INTERVAL_MICROS, FLEET_INTERVAL_MICROS * state.view().size());
        int percent = MIN_SPREAD_PERCENT + random.nextInt(SPREAD_RANGE_PERCENT);
        nextNoticeMicros = nowMicros + interval * percent / 100;
        String seed = absent.get(random.nextInt(absent.size()));
        sender.sendWithoutGossip(seed, new Body.Gossip(), nowMicros);
    }

    /** This member is in the view that was just installed. */
    void onEnteredView(long nowMicros) {
        nextNoticeMicros = nowMicros + random.nextLong(MIN_INTERVAL_MICROS);
    }
}
