package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clusters on virtual time with crashes, partitions, suspended processes and restarts, and the views that follow. */
class MembershipTest {
    static final long SECOND = 1_000_000;

    static Net cluster(long seed, int size) {
        Net net = new Net(seed);
        net.startCluster(size);
        net.run(5 * SECOND);
        assertThat(net.agreed(size).id().number()).isEqualTo(1);
        return net;
    }

    @Test
    @Timeout(60)
    void crashedMemberIsRemovedFromEveryViewWithinFiveSeconds() {
        for (int size : new int[] {3, 4, 5, 12, 40}) {
            for (int seed = 0; seed < 5; seed++) {
                Net net = cluster(seed, size);
                net.crash(Net.name(seed % size));
                net.run(5 * SECOND);
                assertThat(net.agreed(size - 1).id().number())
                        .as("size %d seed %d", size, seed)
                        .isEqualTo(2);
            }
        }
    }

    @Test
    @Timeout(60)
    void crashOfAThirdTakesAtMostTwoViews() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = cluster(seed, 12);
            for (int i = 0; i < 4; i++) {
                net.crash(Net.name((seed + i) % 12));
            }
            net.run(8 * SECOND);
            assertThat(net.agreed(8).id().number()).as("seed %d", seed).isBetween(2L, 3L);
        }
    }

    @Test
    @Timeout(60)
    void messageLossAndSuspendedProcessesRemoveNobody() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = cluster(seed, 12);
            net.loss = 0.3;
            net.run(30 * SECOND);
            assertThat(net.views).as("seed %d, 30%% loss", seed).hasSize(1);
            net.loss = 0;
            net.suspendedUntil.put(Net.name(3), net.nowMicros + 1_500_000);
            net.run(10 * SECOND);
            assertThat(net.views).as("seed %d, suspended for 1.5 s", seed).hasSize(1);
            for (int i = 0; i < 3; i++) { // a quarter that resumes together suspects nobody
                net.suspendedUntil.put(Net.name(i), net.nowMicros + 1_500_000);
            }
            net.run(10 * SECOND);
            assertThat(net.views).as("seed %d, a quarter suspended", seed).hasSize(1);
        }
    }

    @Test
    @Timeout(60)
    void oneWayPartitionOfAPairRemovesNobodyAndAnUnreachableMemberIsRemovedAndRejoins() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = cluster(seed, 12);
            net.partition = (from, to) -> from.equals("m001") && to.equals("m002");
            net.run(20 * SECOND);
            assertThat(net.views)
                    .as("seed %d: messages from m001 to m002 are lost", seed)
                    .hasSize(1);
            net.partition = (from, to) -> from.equals("m001");
            net.run(20 * SECOND);
            assertThat(net.members.get("m000").view().size()).isEqualTo(11);
            assertThat(net.views.keySet()).as("no flapping").hasSize(2);
            net.partition = (from, to) -> false;
            net.run(8 * SECOND);
            assertThat(net.agreed(12).id().number()).isEqualTo(3);
        }
    }

    @Test
    @Timeout(60)
    void minorityKeepsItsViewAndFollowsAfterThePartitionHeals() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = cluster(seed, 12);
            net.partition = (from, to) -> from.compareTo("m005") < 0 != to.compareTo("m005") < 0;
            net.run(20 * SECOND);
            assertThat(net.members.get("m000").view().id().number())
                    .as("seed %d: five of twelve", seed)
                    .isEqualTo(1);
            assertThat(net.members.get("m011").view().size()).isEqualTo(7);
            net.partition = (from, to) -> false;
            net.run(12 * SECOND);
            net.agreed(12);
        }
    }

    @Test
    @Timeout(60)
    void restartDepartureAndJoinsTakeFewViews() {
        Net net = cluster(1, 12);
        net.crash("m004");
        net.add(Net.member("m004", 2), List.of("m000", "m001"), null);
        net.run(8 * SECOND);
        assertThat(net.agreed(12).memberNamed("m004").id().incarnation()).isEqualTo(2);
        assertThat(net.views.size()).isEqualTo(2);
        net.members.get("m007").leave();
        net.scheduleTurn("m007");
        net.run(3 * SECOND);
        assertThat(net.members.get("m000").view().size()).isEqualTo(11);
        net.crash("m007");
        for (int i = 20; i < 26; i++) {
            net.add(Net.member(Net.name(i), 1), List.of("m000", "m001"), null);
        }
        net.run(8 * SECOND);
        net.agreed(17);
        assertThat(net.views.size()).isLessThanOrEqualTo(5);
        net.run(10 * SECOND);
        net.members.forEach(
                (name, one) -> assertThat(net.crashed.contains(name) || one.isQuorumReachable(net.nowMicros))
                        .as("%s keeps observing after others joined", name)
                        .isTrue());
        net.crash("m002");
        net.run(5 * SECOND);
        net.agreed(16);
    }
}
