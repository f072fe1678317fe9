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

/** Tests that members which exchange their votes and rounds, in random order and with losses, decide one change. */
class ViewAgreementTest {
    private static View view(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(new Member(new MemberId(String.format("m%02d", i), 1), "", "", "", 0));
        }
        return new View(new ViewId(1, 1), members);
    }

    /** Passes everything that one member knows of the agreement to another. */
    private static void transfer(ViewAgreement from, ViewAgreement to) {
        if (from.decided() != null) {
            to.onDecided(from.decided());
            return;
        }
        from.fastVotes().forEach((change, voters) -> to.onFastVotes(change, (BitSet) voters.clone()));
        if (from.ballot() > ViewAgreement.FAST_BALLOT) {
            to.onPrepare(from.ballot());
            from.promises().forEach((member, promise) -> to.onPromise(from.ballot(), member, promise));
            if (from.proposal() != null) {
                to.onAccepted(from.ballot(), from.proposal(), (BitSet)
                        from.acceptors().clone());
            }
        }
    }

    private static ViewChange removalOf(String name) {
        return ViewChange.of(List.of(new MemberId(name, 1)), List.of());
    }

    @Test
    void equalFastVotesDecideWithoutACoordinator() {
        View view = view(5);
        List<ViewAgreement> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) { // the fifth member has crashed
            members.add(new ViewAgreement(view, i));
            members.get(i).propose(removalOf("m04"));
        }
        for (int i = 0; i < 3; i++) {
            transfer(members.get(i), members.get(3));
            assertThat(members.get(3).decided()).isEqualTo(i < 2 ? null : removalOf("m04"));
        }
        assertThat(members.get(3).ballot()).isEqualTo(ViewAgreement.FAST_BALLOT);
        assertThat(view.withChange(removalOf("m04")).members()).hasSize(4);
        assertThat(view.withChange(removalOf("m04")).id()).isEqualTo(new ViewId(1, 2));
    }

    @Test
    void fewerMembersThanAQuorumNeverDecide() {
        View view = view(5);
        ViewAgreement first = new ViewAgreement(view, 0);
        ViewAgreement second = new ViewAgreement(view, 1);
        for (int round = 0; round < 10; round++) {
            first.propose(removalOf("m04"));
            second.propose(removalOf("m04"));
            first.startClassicRound();
            transfer(first, second);
            transfer(second, first);
            second.startClassicRound();
            transfer(second, first);
            transfer(first, second);
        }
        assertThat(first.decided()).isNull();
        assertThat(second.decided()).isNull();
    }

    @Test
    @Timeout(60)
    void splitVotesAndLossesDecideOneChangeWithAnyMinorityCrashed() {
        Set<ViewChange> decidedChanges = new HashSet<>();
        for (int seed = 0; seed < 3_000; seed++) {
            Random random = new Random(seed);
            int size = 1 + random.nextInt(9);
            View view = view(size);
            int running = view.classicQuorum() + random.nextInt(size - view.classicQuorum() + 1);
            List<ViewAgreement> members = new ArrayList<>();
            for (int i = 0; i < running; i++) {
                members.add(new ViewAgreement(view, i));
            }
            ViewChange decided = null;
            boolean allDecided = false;
            for (int step = 0; step < 20_000 && !allDecided; step++) {
                ViewAgreement from = members.get(random.nextInt(running));
                ViewAgreement to = members.get(random.nextInt(running));
                int action = random.nextInt(100);
                if (action < 10) {
                    from.propose(removalOf("m0" + random.nextInt(3)));
                } else if (action < 11 && from.hasCandidate()) {
                    from.startClassicRound();
                } else if (action < 80 && from != to) { // for other values nothing is transferred, like a lost message
                    transfer(from, to);
                }
                allDecided = true;
                for (ViewAgreement member : members) {
                    if (member.decided() != null) {
                        assertThat(decided == null || decided.equals(member.decided()))
                                .as("seed %d: %s and %s", seed, decided, member.decided())
                                .isTrue();
                        decided = member.decided();
                    }
                    allDecided &= member.decided() != null;
                }
            }
            assertThat(allDecided)
                    .as("seed %d: all %d running members of a view of %d know the decision", seed, running, size)
                    .isTrue();
            decidedChanges.add(decided);
        }
        assertThat(decidedChanges).hasSizeGreaterThan(2);
    }
}
