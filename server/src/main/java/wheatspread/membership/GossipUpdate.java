package wheatspread.membership;

import java.util.BitSet;
import java.util.List;

/**
 * A fact about the current view that members disseminate by gossip. An update may arrive several times, late and in any
 * order, so the value of each kind only grows. Updates refer to members by their index in the view, and to observers by
 * their position in {@link View#observersOf(int)}.
 */
public sealed interface GossipUpdate {
    /** Calls the method of the visitor for this kind of update. */
    <R> R accept(Visitor<R> visitor);

    /** Returns the key of this update; of updates with equal keys only the latest is queued. */
    default Object supersessionKey() {
        return this;
    }

    /** Returns how a new update is passed on; {@link Category#EVIDENCE} unless a kind overrides this. */
    default Category category() {
        return Category.EVIDENCE;
    }

    /** Defines how an update that was new to this member is passed on, and what it can affect. */
    enum Category {
        /** The update can lead to a view change, and is passed on as received. */
        EVIDENCE,
        /** The update shortens the suspicions of other observers, changes no view, and is passed on as received. */
        SUSPICION,
        /**
         * The update is a promise of a classic round, and is passed on as received, with the votes known to this
         * member.
         */
        PROMISE,
        /**
         * The update has votes or a ballot, which are merged with the votes and the ballot known to this member; the
         * result is passed on.
         */
        VOTES
    }

    /** Has one method for each kind of update, so that every visitor must handle a new kind to compile. */
    interface Visitor<R> {
        R visitReport(Report update);

        R visitSuspicion(Suspicion update);

        R visitLeaving(Leaving update);

        R visitJoining(Joining update);

        R visitJoinerReachable(JoinerReachable update);

        R visitFastVotes(FastVotes update);

        R visitPrepare(Prepare update);

        R visitPromised(Promised update);

        R visitAccepted(Accepted update);
    }

    /** An observer's report on a member: an odd counter reports it down, a larger even counter withdraws the report. */
    record Report(int subject, int observerIndex, int counter) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitReport(this);
        }

        @Override
        public Object supersessionKey() {
            return List.of('r', subject, observerIndex);
        }
    }

    /**
     * An observer's suspicion of a member: the counter is odd while the suspicion lasts. It confirms the suspicions of
     * other observers.
     */
    record Suspicion(int subject, int observerIndex, int counter) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitSuspicion(this);
        }

        @Override
        public Object supersessionKey() {
            return List.of('s', subject, observerIndex);
        }

        @Override
        public Category category() {
            return Category.SUSPICION;
        }
    }

    /** A member's announcement that it leaves. */
    record Leaving(int member) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitLeaving(this);
        }
    }

    /** The join request of a server that is not in the view. */
    record Joining(Member member) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitJoining(this);
        }
    }

    /** A prospective observer's report on a joiner: the counter is odd while the joiner answers probes. */
    record JoinerReachable(MemberId joiner, int observerIndex, int counter) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitJoinerReachable(this);
        }

        @Override
        public Object supersessionKey() {
            return List.of('h', joiner, observerIndex);
        }
    }

    /** The voters for a change in the fast round (Fast Paxos, phase 2b of the fast ballot), by member index. */
    record FastVotes(ViewChange change, BitSet voters) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitFastVotes(this);
        }

        @Override
        public Object supersessionKey() {
            return List.of('f', change);
        }

        @Override
        public Category category() {
            return Category.VOTES;
        }
    }

    /** The ballot of a classic round that was started (phase 1a). */
    record Prepare(long ballot) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitPrepare(this);
        }

        @Override
        public Object supersessionKey() {
            return 'p';
        }

        @Override
        public Category category() {
            return Category.VOTES;
        }
    }

    /** A member's promise in a classic round (phase 1b). */
    record Promised(long ballot, int member, ViewAgreement.Promise promise) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitPromised(this);
        }

        @Override
        public Object supersessionKey() {
            return List.of('q', member);
        }

        @Override
        public Category category() {
            return Category.PROMISE;
        }
    }

    /** The proposal of a classic round's coordinator (phase 2a), with the members that voted for it (phase 2b). */
    record Accepted(long ballot, ViewChange change, BitSet voters) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitAccepted(this);
        }

        @Override
        public Object supersessionKey() {
            return 'a';
        }

        @Override
        public Category category() {
            return Category.VOTES;
        }
    }
}
