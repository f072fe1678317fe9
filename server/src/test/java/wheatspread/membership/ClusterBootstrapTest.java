package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How fleets come to be, meet, stand still and are founded anew, on virtual time. */
class ClusterBootstrapTest {
    private static final long SECOND = MembershipTest.SECOND;
    private static final List<String> SEEDS = List.of("m000", "m001", "m002");

    /** Members that start within so long of each other, from nothing. */
    private static void start(Net net, int from, int to, long start, long within) {
        for (int i = from; i < to; i++) {
            Member member = Net.member(Net.name(i), start);
            net.at(net.now + net.random.nextLong(within), "", () -> net.add(member, SEEDS, null));
        }
    }

    private static Net founded(long seed, int size, double loss) {
        Net net = new Net(seed);
        net.loss = loss;
        start(net, 0, size, 1, 2 * SECOND);
        net.run(20 * SECOND);
        return net;
    }

    @Test
    @Timeout(60)
    void aFleetComesFromNothingInAViewOrTwo() {
        for (int seed = 0; seed < 10; seed++) {
            for (int size : new int[] {3, 4, 12, 40}) {
                View view = founded(seed, size, 0).agreed(size);
                assertThat(view.id().number())
                        .as("seed %d, %d members", seed, size)
                        .isLessThanOrEqualTo(2);
            }
            founded(seed, 12, 0.2).agreed(12);
        }
    }

    @Test
    @Timeout(60)
    void withoutMostSeedsNobodyFoundsAndWithThemASecondFleetIsNotFounded() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = new Net(seed);
            net.cut = (from, to) -> from.equals("m000") || to.equals("m000");
            start(net, 0, 1, 1, SECOND); // one seed alone, and members that are none
            start(net, 3, 8, 1, SECOND);
            net.run(30 * SECOND);
            assertThat(net.views).as("seed %d", seed).isEmpty();
            start(net, 1, 3, 1, SECOND);
            net.run(20 * SECOND);
            net.cut = (from, to) -> false;
            net.run(20 * SECOND);
            View all = net.agreed(8);
            net.kill("m001"); // a seed that comes back joins
            start(net, 1, 2, 2, 1);
            net.run(10 * SECOND);
            assertThat(net.agreed(8).id().epoch())
                    .as("seed %d", seed)
                    .isEqualTo(all.id().epoch());
        }
    }

    @Test
    @Timeout(60)
    void allThatRestartAtOnceFoundOneFleetAgain() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = founded(seed, 12, 0);
            View old = net.agreed(12);
            for (int i = 0; i < 12; i++) {
                net.kill(Net.name(i));
            }
            start(net, 0, 12, 2, 3 * SECOND);
            net.run(25 * SECOND);
            View now = net.agreed(12);
            assertThat(now.id().epoch())
                    .as("seed %d", seed)
                    .isGreaterThan(old.id().epoch());
            assertThat(now.id().number()).as("seed %d", seed).isLessThanOrEqualTo(2);
        }
    }

    @Test
    @Timeout(60)
    void aSecondFleetBehindACutGivesWayToTheFirst() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = founded(seed, 12, 0);
            long first = net.agreed(12).id().epoch();
            Set<String> apart = Set.of("m000", "m001", "m002", "m003", "m004");
            net.cut = (from, to) -> apart.contains(from) != apart.contains(to);
            net.run(8 * SECOND);
            for (int i = 0; i < 4; i++) { // all seeds restart where they hear nobody of the larger side
                net.kill(Net.name(i));
            }
            start(net, 0, 4, 2, SECOND);
            net.run(20 * SECOND);
            assertThat(net.members.get("m000").view().id().epoch())
                    .as("seed %d", seed)
                    .isGreaterThan(first);
            assertThat(net.members.get("m004").view().size())
                    .as("m004 goes over to it")
                    .isEqualTo(5);
            assertThat(net.members.get("m011").view().size())
                    .as("seed %d", seed)
                    .isEqualTo(7);
            net.cut = (from, to) -> false;
            net.run(30 * SECOND);
            View healed = net.agreed(12);
            assertThat(healed.id().epoch()).as("seed %d", seed).isEqualTo(first);
            // it had voted in the first fleet and may not do so again under the same number
            assertThat(healed.memberNamed("m004").id().start())
                    .as("seed %d", seed)
                    .isEqualTo(2);
        }
    }

    @Test
    @Timeout(60)
    void whoIsLeftWithoutAQuorumStandsStillUntilAnOperatorOrdersAnEpoch() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = founded(seed, 12, 0);
            View old = net.agreed(12);
            assertThat(net.members.get("m001").found(net.now)).contains("stands");
            for (int i = 5; i < 12; i++) {
                net.kill(Net.name(i));
            }
            net.run(12 * SECOND);
            for (int i = 0; i < 5; i++) {
                assertThat(net.members.get(Net.name(i)).stands(net.now))
                        .as("seed %d", seed)
                        .isFalse();
                assertThat(net.members.get(Net.name(i)).view())
                        .as("seed %d", seed)
                        .isEqualTo(old);
            }
            assertThat(net.members.get("m004").found(net.now)).contains("only a seed");
            assertThat(net.members.get("m001").found(net.now)).isNull();
            net.plan("m001");
            net.run(5 * SECOND);
            View anew = net.agreed(5);
            assertThat(anew.id().epoch()).isGreaterThan(old.id().epoch());
            assertThat(net.members.get("m003").stands(net.now)).isTrue();
            start(net, 5, 12, 2, SECOND);
            net.run(15 * SECOND);
            assertThat(net.agreed(12).id().epoch())
                    .as("seed %d", seed)
                    .isEqualTo(anew.id().epoch());
        }
    }

    @Test
    @Timeout(60)
    void theSmallerSideOfACutMarksItsViewAsOldAndTheLargerDoesNotForLong() {
        for (int seed = 0; seed < 5; seed++) {
            for (int[] sides : new int[][] {{5, 12}, {2, 12}, {1, 5}, {3, 40}, {15, 40}}) {
                Net net = MembershipTest.fleet(seed, sides[1]);
                String border = Net.name(sides[0]);
                net.cut = (from, to) -> from.compareTo(border) < 0 != to.compareTo(border) < 0;
                for (int second = 1; second <= 20; second++) {
                    net.run(SECOND);
                    for (Map.Entry<String, Membership> one : net.members.entrySet()) {
                        boolean larger = one.getKey().compareTo(border) >= 0;
                        if (larger || second >= 9) {
                            assertThat(one.getValue().stands(net.now))
                                    .as(
                                            "%s of %d and %d, seed %d, at %d s",
                                            one.getKey(), sides[0], sides[1], seed, second)
                                    .isEqualTo(larger);
                        }
                    }
                }
            }
        }
    }

    @Test
    @Timeout(60)
    void whoComesAndGoesIsKeptOutForLonger() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = MembershipTest.fleet(seed, 12);
            net.cut = (from, to) -> from.equals("m007") && net.now / (12 * SECOND) % 2 == 1;
            net.run(480 * SECOND);
            // it goes and comes 20 times; each of them would be two views
            assertThat(net.views.size()).as("seed %d", seed).isBetween(3, 12);
            net.cut = (from, to) -> false;
            net.run(320 * SECOND);
            net.agreed(12);
        }
    }

    /** Whatever the order of faults: no two views of one number (Net asserts it), and one view at the end. */
    @Test
    @Timeout(100)
    void drawnFaultsEndInOneView() {
        for (int seed = 0; seed < 30; seed++) {
            Net net = founded(seed, 12, 0);
            int[] starts = new int[12];
            for (int fault = 0; fault < 8; fault++) {
                draw(net, starts);
                net.run((3 + net.random.nextInt(12)) * SECOND);
            }
            net.cut = (from, to) -> false;
            net.loss = 0;
            net.run(300 * SECOND); // whoever came and went often has to wait
            assertThat(net.agreed(12).id().number()).as("seed %d", seed).isLessThan(40);
        }
    }

    private static void draw(Net net, int[] starts) {
        int whom = net.random.nextInt(12);
        int border = net.random.nextInt(12);
        switch (net.random.nextInt(6)) {
            case 0 ->
                net.cut = (from, to) -> from.compareTo(Net.name(border)) < 0 != to.compareTo(Net.name(border)) < 0;
            case 1 -> net.cut = (from, to) -> from.equals(Net.name(whom)) && to.compareTo(Net.name(border)) < 0;
            case 2 -> net.cut = (from, to) -> false;
            case 3 -> net.loss = net.random.nextDouble(0.4);
            case 4 -> net.stoppedUntil.put(Net.name(whom), net.now + net.random.nextLong(6 * SECOND));
            default -> {
                net.kill(Net.name(whom));
                starts[whom]++;
                start(net, whom, whom + 1, 1 + 10 * starts[whom], 2 * SECOND);
            }
        }
    }

    @Test
    void ofTwoFleetsNeverBothGiveWayToEachOther() {
        List<ViewId> ids = List.of(new ViewId(1, 1), new ViewId(1, 2), new ViewId(2, 1), new ViewId(2, 2));
        boolean[] either = {false, true};
        for (ViewId one : ids) {
            for (ViewId other : ids) {
                for (boolean stands : either) {
                    for (boolean otherStands : either) {
                        assertThat(ViewPrecedence.takesPrecedence(one, stands, other, otherStands)
                                        && ViewPrecedence.takesPrecedence(other, otherStands, one, stands))
                                .isFalse();
                        assertThat(ViewPrecedence.takesPrecedence(one, stands, one, otherStands))
                                .isFalse();
                    }
                }
            }
        }
    }
}
