package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Formation of clusters, meetings of two, loss of the quorum and new epochs, on virtual time. */
class ClusterBootstrapTest {
    private static final long SECOND = MembershipTest.SECOND;
    private static final List<String> SEEDS = List.of("m000", "m001", "m002");

    /** Starts servers without a view, at random times within the given one. */
    private static void start(Net net, int from, int to, long start, long within) {
        for (int i = from; i < to; i++) {
            Member member = Net.member(Net.name(i), start);
            net.at(net.nowMicros + net.random.nextLong(within), "", () -> net.add(member, SEEDS, null));
        }
    }

    private static Net formed(long seed, int size, double loss) {
        Net net = new Net(seed);
        net.loss = loss;
        start(net, 0, size, 1, 2 * SECOND);
        net.run(20 * SECOND);
        return net;
    }

    @Test
    @Timeout(60)
    void clusterFormsInAtMostTwoViews() {
        for (int seed = 0; seed < 10; seed++) {
            for (int size : new int[] {3, 4, 12, 40}) {
                View view = formed(seed, size, 0).agreed(size);
                assertThat(view.id().number())
                        .as("seed %d, %d members", seed, size)
                        .isLessThanOrEqualTo(2);
            }
            formed(seed, 12, 0.2).agreed(12);
        }
    }

    @Test
    @Timeout(60)
    void minorityOfSeedsFormsNoClusterAndASecondClusterIsNotFormed() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = new Net(seed);
            net.partition = (from, to) -> from.equals("m000") || to.equals("m000");
            start(net, 0, 1, 1, SECOND); // one seed alone, and servers that are no seeds
            start(net, 3, 8, 1, SECOND);
            net.run(30 * SECOND);
            assertThat(net.views).as("seed %d", seed).isEmpty();
            start(net, 1, 3, 1, SECOND);
            net.run(20 * SECOND);
            net.partition = (from, to) -> false;
            net.run(20 * SECOND);
            View all = net.agreed(8);
            net.crash("m001"); // a seed that comes back joins
            start(net, 1, 2, 2, 1);
            net.run(10 * SECOND);
            assertThat(net.agreed(8).id().epoch())
                    .as("seed %d", seed)
                    .isEqualTo(all.id().epoch());
        }
    }

    @Test
    @Timeout(60)
    void simultaneousRestartOfAllFormsOneClusterInALaterEpoch() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = formed(seed, 12, 0);
            View old = net.agreed(12);
            for (int i = 0; i < 12; i++) {
                net.crash(Net.name(i));
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
    void secondClusterBehindAPartitionYieldsToTheFirst() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = formed(seed, 12, 0);
            long first = net.agreed(12).id().epoch();
            Set<String> smallerSide = Set.of("m000", "m001", "m002", "m003", "m004");
            net.partition = (from, to) -> smallerSide.contains(from) != smallerSide.contains(to);
            net.run(8 * SECOND);
            for (int i = 0; i < 4; i++) { // all seeds restart while they reach nobody of the larger side
                net.crash(Net.name(i));
            }
            start(net, 0, 4, 2, SECOND);
            net.run(20 * SECOND);
            assertThat(net.members.get("m000").view().id().epoch())
                    .as("seed %d", seed)
                    .isGreaterThan(first);
            assertThat(net.members.get("m004").view().size())
                    .as("m004 follows it")
                    .isEqualTo(5);
            assertThat(net.members.get("m011").view().size())
                    .as("seed %d", seed)
                    .isEqualTo(7);
            net.partition = (from, to) -> false;
            net.run(30 * SECOND);
            View healed = net.agreed(12);
            assertThat(healed.id().epoch()).as("seed %d", seed).isEqualTo(first);
            // it had voted in the first fleet and may not do so again under the same number
            assertThat(healed.memberNamed("m004").id().incarnation())
                    .as("seed %d", seed)
                    .isEqualTo(2);
        }
    }

    @Test
    @Timeout(60)
    void minorityKeepsItsViewUntilAnOperatorOrdersAnEpoch() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = formed(seed, 12, 0);
            View old = net.agreed(12);
            assertThat(net.members.get("m001").orderBootstrap(net.nowMicros))
                    .isEqualTo("a quorum of the current view " + old.id() + " is reachable");
            for (int i = 5; i < 12; i++) {
                net.crash(Net.name(i));
            }
            net.run(12 * SECOND);
            for (int i = 0; i < 5; i++) {
                assertThat(net.members.get(Net.name(i)).isQuorumReachable(net.nowMicros))
                        .as("seed %d", seed)
                        .isFalse();
                assertThat(net.members.get(Net.name(i)).view())
                        .as("seed %d", seed)
                        .isEqualTo(old);
            }
            assertThat(net.members.get("m004").orderBootstrap(net.nowMicros))
                    .isEqualTo("only a seed can form a cluster, and this server is not in the list of seeds");
            assertThat(net.members.get("m001").orderBootstrap(net.nowMicros)).isNull();
            net.scheduleTurn("m001");
            net.run(5 * SECOND);
            View formedAnew = net.agreed(5);
            assertThat(formedAnew.id().epoch()).isGreaterThan(old.id().epoch());
            assertThat(net.members.get("m003").isQuorumReachable(net.nowMicros)).isTrue();
            start(net, 5, 12, 2, SECOND);
            net.run(15 * SECOND);
            assertThat(net.agreed(12).id().epoch())
                    .as("seed %d", seed)
                    .isEqualTo(formedAnew.id().epoch());
        }
    }

    @Test
    @Timeout(60)
    void smallerSideOfAPartitionLosesItsQuorumAndTheLargerKeepsIt() {
        for (int seed = 0; seed < 5; seed++) {
            for (int[] sides : new int[][] {{5, 12}, {2, 12}, {1, 5}, {3, 40}, {15, 40}}) {
                Net net = MembershipTest.cluster(seed, sides[1]);
                String border = Net.name(sides[0]);
                net.partition = (from, to) -> from.compareTo(border) < 0 != to.compareTo(border) < 0;
                for (int second = 1; second <= 20; second++) {
                    net.run(SECOND);
                    for (Map.Entry<String, Membership> one : net.members.entrySet()) {
                        boolean largerSide = one.getKey().compareTo(border) >= 0;
                        if (largerSide || second >= 9) {
                            assertThat(one.getValue().isQuorumReachable(net.nowMicros))
                                    .as(
                                            "%s of %d and %d, seed %d, at %d s",
                                            one.getKey(), sides[0], sides[1], seed, second)
                                    .isEqualTo(largerSide);
                        }
                    }
                }
            }
        }
    }

    @Test
    @Timeout(60)
    void flappingMemberIsKeptOutForLonger() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = MembershipTest.cluster(seed, 12);
            net.partition = (from, to) -> from.equals("m007") && net.nowMicros / (12 * SECOND) % 2 == 1;
            net.run(480 * SECOND);
            // it is unreachable 20 times; each time would be two views
            assertThat(net.views.size()).as("seed %d", seed).isBetween(3, 12);
            net.partition = (from, to) -> false;
            net.run(320 * SECOND);
            net.agreed(12);
        }
    }

    /** Whatever the order of faults: no two views of one number (asserted by Net), and one view at the end. */
    @Test
    @Timeout(100)
    void randomFaultsEndInOneView() {
        for (int seed = 0; seed < 30; seed++) {
            Net net = formed(seed, 12, 0);
            int[] starts = new int[12];
            for (int fault = 0; fault < 8; fault++) {
                injectFault(net, starts);
                net.run((3 + net.random.nextInt(12)) * SECOND);
            }
            net.partition = (from, to) -> false;
            net.loss = 0;
            net.run(300 * SECOND); // members that flapped have to wait
            assertThat(net.agreed(12).id().number()).as("seed %d", seed).isLessThan(40);
        }
    }

    private static void injectFault(Net net, int[] starts) {
        int target = net.random.nextInt(12);
        int border = net.random.nextInt(12);
        switch (net.random.nextInt(6)) {
            case 0 ->
                net.partition =
                        (from, to) -> from.compareTo(Net.name(border)) < 0 != to.compareTo(Net.name(border)) < 0;
            case 1 -> net.partition = (from, to) -> from.equals(Net.name(target)) && to.compareTo(Net.name(border)) < 0;
            case 2 -> net.partition = (from, to) -> false;
            case 3 -> net.loss = net.random.nextDouble(0.4);
            case 4 -> net.suspendedUntil.put(Net.name(target), net.nowMicros + net.random.nextLong(6 * SECOND));
            default -> {
                net.crash(Net.name(target));
                starts[target]++;
                start(net, target, target + 1, 1 + 10 * starts[target], 2 * SECOND);
            }
        }
    }

    @Test
    void neverDoTwoClustersYieldToEachOther() {
        List<ViewId> ids = List.of(new ViewId(1, 1), new ViewId(1, 2), new ViewId(2, 1), new ViewId(2, 2));
        boolean[] either = {false, true};
        for (ViewId one : ids) {
            for (ViewId other : ids) {
                for (boolean reachable : either) {
                    for (boolean otherReachable : either) {
                        assertThat(ViewPrecedence.takesPrecedence(one, reachable, other, otherReachable)
                                        && ViewPrecedence.takesPrecedence(other, otherReachable, one, reachable))
                                .isFalse();
                        assertThat(ViewPrecedence.takesPrecedence(one, reachable, one, otherReachable))
                                .isFalse();
                    }
                }
            }
        }
    }
}
