package wheatspread.membership;

import java.util.BitSet;
import java.util.List;

/**
 * One fact about the current view that members disseminate by gossip. An update may arrive several times, late and in
 * any order, so each kind is a value that only grows. Members are named by their index in the view, observers by
 * their position in {@link View#observersOf(int)}.
 */
public sealed interface GossipUpdate {
    /** Calls the method of the visitor for this kind of update. */
    <R> R accept(Visitor<R> visitor);

    /** Updates with equal keys supersede each other: only the latest is queued. */
    default Object supersessionKey() {
        return this;
    }

    /** How the update is handled once it is known; evidence unless a kind says otherwise. */
    default Category category() {
        return Category.EVIDENCE;
    }

    /** How an update that was new here is passed on, and what it may lead to. */
    enum Category {
        /** May change which members leave or join: passed on as received. */
        EVIDENCE,
        /** Shortens others' suspicions, and changes no view: passed on as received. */
        SUSPICION,
        /** A promise of a classic round: passed on as received, with the votes known here. */
        PROMISE,
        /** Votes that are merged with those known here: the merged votes are passed on. */
        VOTES
    }

    /** One method for each kind of update, so that a new kind does not compile until all handle it. */
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

    /** An observer's alert about a member: an odd counter reports it down, a larger even one takes that back. */
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

    /** An observer's suspicion of a member: odd while it lasts. It confirms others' suspicions and reports nothing. */
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

    /** A member leaves by its own decision. */
    record Leaving(int member) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitLeaving(this);
        }
    }

    /** A server that is not in the view asks to join. */
    record Joining(Member member) implements GossipUpdate {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.visitJoining(this);
        }
    }

    /** A prospective observer's report on a joiner: an odd counter says that it answers probes. */
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

    /** Who voted for a change in the fast round (Fast Paxos, phase 2b of the fast ballot). */
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

    /** A classic round was started (phase 1a). */
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

    /** The proposal of a classic round's coordinator (phase 2a), with who accepted it (phase 2b). */
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
