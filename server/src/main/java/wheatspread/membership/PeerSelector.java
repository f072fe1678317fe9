package wheatspread.membership;

import java.util.random.RandomGenerator;

/** Selects random members of the current view as recipients of gossip and as helpers for indirect probes. */
final class PeerSelector {
    private final MembershipState state;
    private final RandomGenerator random;

    PeerSelector(MembershipState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
    }

    /** Returns a random member of the view other than this member; requires a view of at least two members. */
    Member randomOther() {
        int randomIndex = random.nextInt(state.view().size() - 1);
        int index = randomIndex < state.ownIndex() ? randomIndex : randomIndex + 1;
        return state.view().members().get(index);
    }
}
