package wheatspread.membership;

import java.util.random.RandomGenerator;

/** Draws members of the current view at random, as targets of gossip and helpers for indirect probes. */
final class PeerSelector {
    private final MembershipState state;
    private final RandomGenerator random;

    PeerSelector(MembershipState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
    }

    /** Any member of the view but this one; the view has at least two. */
    Member randomOther() {
        int drawn = random.nextInt(state.view().size() - 1);
        int index = drawn < state.ownIndex() ? drawn : drawn + 1;
        return state.view().members().get(index);
    }
}
