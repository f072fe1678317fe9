package wheatspread.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import wheatspread.membership.Message.Body;

/**
 * Notifies the seeds that are missing from this view that this cluster exists; a missing seed is in no view or in
 * another cluster. The notices keep restarted seeds from forming a second cluster, and let two clusters discover each
 * other.
 */
final class SeedNotifier {
    /** The interval between notices of the whole fleet, so that the load on a seed does not grow with the fleet. */
    private static final long FLEET_INTERVAL_MICROS = 200_000;
    /** The shortest interval between notices of one member, which applies in small fleets. */
    private static final long MIN_INTERVAL_MICROS = 2_000_000;
    /** Each interval is multiplied by a random factor between 50% and 150%. */
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

    /**
     * Returns the next time at which {@link #run} checks for absent seeds; {@link Long#MAX_VALUE} if all are members.
     */
    long nextNoticeMicros() {
        return nextNoticeMicros;
    }

    /** Notifies one absent seed if a notice is due. */
    void run(long nowMicros) {
        if (!state.isMember() || nowMicros < nextNoticeMicros) {
            return;
        }
        List<String> absentSeeds = new ArrayList<>(seeds);
        state.view().members().forEach(member -> absentSeeds.remove(member.address()));
        if (absentSeeds.isEmpty()) {
            nextNoticeMicros = Long.MAX_VALUE;
            return;
        }
        long intervalMicros = Math.max(
                MIN_INTERVAL_MICROS, FLEET_INTERVAL_MICROS * state.view().size());
        int percent = MIN_SPREAD_PERCENT + random.nextInt(SPREAD_RANGE_PERCENT);
        nextNoticeMicros = nowMicros + intervalMicros * percent / 100;
        String seed = absentSeeds.get(random.nextInt(absentSeeds.size()));
        sender.sendWithoutGossip(seed, new Body.Gossip(), nowMicros);
    }

    /** Called when a view with this member was installed; the first notice follows after a random wait. */
    void onEnteredView(long nowMicros) {
        nextNoticeMicros = nowMicros + random.nextLong(MIN_INTERVAL_MICROS);
    }
}
