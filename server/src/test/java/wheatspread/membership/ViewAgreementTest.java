package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Members that exchange all they know, in random orders with losses, until one change is decided. */
class ViewAgreementTest {
    private static View view(int members) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all.add(new Member(new MemberId(String.format("m%02d", i), 1), "", "", "", 0));
        }
        return new View(new ViewId(1, 1), all);
    }

    private static void exchange(ViewAgreement from, ViewAgreement to) {
        if (from.decided() != null) {
            to.onDecided(from.decided());
            return;
        }
        from.fastVotes().forEach((change, voters) -> to.onFastVotes(change, (BitSet) voters.clone()));
        if (from.ballot() > ViewAgreement.FAST_BALLOT) {
            to.onPrepare(from.ballot());
            from.promises().forEach((one, promise) -> to.onPromise(from.ballot(), one, promise));
            if (from.proposal() != null) {
                to.onAccepted(from.ballot(), from.proposal(), (BitSet)
                        from.acceptors().clone());
            }
        }
    }

    private static ViewChange out(String name) {
        return ViewChange.of(List.of(new MemberId(name, 1)), List.of());
    }

    @Test
    void equalFastVotesDecideWithoutACoordinator() {
        View view = view(5);
        List<ViewAgreement> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) { // the fifth crashed
            members.add(new ViewAgreement(view, i));
            members.get(i).propose(out("m04"));
        }
        for (int i = 0; i < 3; i++) {
            exchange(members.get(i), members.get(3));
            assertThat(members.get(3).decided()).isEqualTo(i < 2 ? null : out("m04"));
        }
        assertThat(members.get(3).ballot()).isEqualTo(ViewAgreement.FAST_BALLOT);
        assertThat(view.withChange(out("m04")).members()).hasSize(4);
        assertThat(view.withChange(out("m04")).id()).isEqualTo(new ViewId(1, 2));
    }

    @Test
    void lessThanAQuorumNeverDecides() {
        View view = view(5);
        ViewAgreement first = new ViewAgreement(view, 0);
        ViewAgreement second = new ViewAgreement(view, 1);
        for (int round = 0; round < 10; round++) {
            first.propose(out("m04"));
            second.propose(out("m04"));
            first.startClassicRound();
            exchange(first, second);
            exchange(second, first);
            second.startClassicRound();
            exchange(second, first);
            exchange(first, second);
        }
        assertThat(first.decided()).isNull();
        assertThat(second.decided()).isNull();
    }

    @Test
    @Timeout(60)
    void splitVotesAndLossesDecideOneChangeWithAnyMinorityCrashed() {
        Set<ViewChange> seen = new HashSet<>();
        for (int seed = 0; seed < 3_000; seed++) {
            Random random = new Random(seed);
            int size = 1 + random.nextInt(9);
            View view = view(size);
            int alive = view.classicQuorum() + random.nextInt(size - view.classicQuorum() + 1);
            List<ViewAgreement> members = new ArrayList<>();
            for (int i = 0; i < alive; i++) {
                members.add(new ViewAgreement(view, i));
            }
            ViewChange decided = null;
            boolean all = false;
            for (int step = 0; step < 20_000 && !all; step++) {
                ViewAgreement from = members.get(random.nextInt(alive));
                ViewAgreement to = members.get(random.nextInt(alive));
                int action = random.nextInt(100);
                if (action < 10) {
                    from.propose(out("m0" + random.nextInt(3)));
                } else if (action < 11 && from.hasCandidate()) {
                    from.startClassicRound();
                } else if (action < 80 && from != to) { // the rest is lost
                    exchange(from, to);
                }
                all = true;
                for (ViewAgreement one : members) {
                    if (one.decided() != null) {
                        assertThat(decided == null || decided.equals(one.decided()))
                                .as("seed %d: %s and %s", seed, decided, one.decided())
                                .isTrue();
                        decided = one.decided();
                    }
                    all &= one.decided() != null;
                }
            }
            assertThat(all)
                    .as("seed %d: all of %d in a view of %d know", seed, alive, size)
                    .isTrue();
            seen.add(decided);
        }
        assertThat(seen).hasSizeGreaterThan(2);
    }
}
