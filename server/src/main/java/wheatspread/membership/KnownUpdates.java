package wheatspread.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntPredicate;

/** Converts this member's knowledge of its view to gossip updates. */
final class KnownUpdates {
    private final MembershipState state;

    KnownUpdates(MembershipState state) {
        this.state = state;
    }

    /** Returns everything that is known about the view, except suspicions, which change no view. */
    List<GossipUpdate> allUpdates() {
        List<GossipUpdate> updates = new ArrayList<>();
        addReports(updates);
        state.cutDetector().leavingMembers().stream().forEach(member -> updates.add(new GossipUpdate.Leaving(member)));
        addJoiners(updates);
        updates.addAll(agreementUpdates(member -> true));
        return updates;
    }

    /** Returns the votes and the current round, with the promises of the selected members. */
    List<GossipUpdate> agreementUpdates(IntPredicate includePromiseOf) {
        ViewAgreement agreement = state.agreement();
        List<GossipUpdate> updates = new ArrayList<>();
        agreement
                .fastVotes()
                .forEach((change, voters) -> updates.add(new GossipUpdate.FastVotes(change, copy(voters))));
        long ballot = agreement.ballot();
        if (ballot > ViewAgreement.FAST_BALLOT) {
            updates.add(new GossipUpdate.Prepare(ballot));
            agreement.promises().forEach((member, promise) -> {
                if (includePromiseOf.test(member)) {
                    updates.add(new GossipUpdate.Promised(ballot, member, promise));
                }
            });
            if (agreement.proposal() != null) {
                updates.add(new GossipUpdate.Accepted(ballot, agreement.proposal(), copy(agreement.acceptors())));
            }
        }
        return updates;
    }

    private void addReports(List<GossipUpdate> updates) {
        CutDetector cutDetector = state.cutDetector();
        for (int member = 0; member < state.view().size(); member++) {
            for (int observer = 0; observer < cutDetector.observerCount(member); observer++) {
                int counter = cutDetector.reportCounter(member, observer);
                if (counter > 0) {
                    updates.add(new GossipUpdate.Report(member, observer, counter));
                }
            }
        }
    }

    private void addJoiners(List<GossipUpdate> updates) {
        CutDetector cutDetector = state.cutDetector();
        for (Member joiner : cutDetector.joiners()) {
            updates.add(new GossipUpdate.Joining(joiner));
            int observers = cutDetector.observersOfJoiner(joiner.id()).length;
            for (int observer = 0; observer < observers; observer++) {
                int counter = cutDetector.joinerCounter(joiner.id(), observer);
                if (counter > 0) {
                    updates.add(new GossipUpdate.JoinerReachable(joiner.id(), observer, counter));
                }
            }
        }
    }

    private static BitSet copy(BitSet voters) {
        return (BitSet) voters.clone();
    }
}
