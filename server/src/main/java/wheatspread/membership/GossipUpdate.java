package wheatspread.membership;

import java.util.BitSet;
import java.util.List;

/** What members of one view tell each other about it; each kind may come doubled, late and in any order. */
public sealed interface GossipUpdate {
    /** What a piece of news replaces when it is newer: only the latest of a subject is passed on. */
    default Object subject() {
        return this;
    }

    /** A watcher's counter on a member: odd is "down". */
    record Report(int member, int slot, int counter) implements GossipUpdate {
        @Override
        public Object subject() {
            return List.of('r', member, slot);
        }
    }

    /** A watcher's counter on a member: odd is "suspected". */
    record Suspicion(int member, int slot, int counter) implements GossipUpdate {
        @Override
        public Object subject() {
            return List.of('s', member, slot);
        }
    }

    /** A member goes by itself. */
    record Leaving(int member) implements GossipUpdate {}

    /** Somebody wants to join. */
    record Joining(Member member) implements GossipUpdate {}

    /** The counter on a joiner of one who would watch it: odd is "heard". */
    record Heard(MemberId joiner, int slot, int counter) implements GossipUpdate {
        @Override
        public Object subject() {
            return List.of('h', joiner, slot);
        }
    }

    /** Who voted for a change in the fast round. */
    record FastVotes(ViewChange change, BitSet voters) implements GossipUpdate {
        @Override
        public Object subject() {
            return List.of('f', change);
        }
    }

    /** A round was begun. */
    record Prepare(long ballot) implements GossipUpdate {
        @Override
        public Object subject() {
            return 'p';
        }
    }

    /** A member's word in a round. */
    record Promised(long ballot, int member, ViewAgreement.Promise promise) implements GossipUpdate {
        @Override
        public Object subject() {
            return List.of('q', member);
        }
    }

    /** What a round's coordinator asks for, and who has voted for it. */
    record Accepted(long ballot, ViewChange change, BitSet voters) implements GossipUpdate {
        @Override
        public Object subject() {
            return 'a';
        }
    }
}
