package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the views that result from crashes, partitions, suspended processes and restarts, on virtual time. */
class MembershipTest {
    static final long SECOND_MICROS = 1_000_000;

    static SimulatedNetwork startCluster(long seed, int size) {
        SimulatedNetwork network = new SimulatedNetwork(seed);
        network.startCluster(size);
        network.runFor(5 * SECOND_MICROS);
        assertThat(network.assertAgreedView(size).id().number()).isEqualTo(1);
        return network;
    }

    @Test
    @Timeout(60)
    void crashedMemberIsRemovedFromEveryViewWithinFiveSeconds() {
        for (int size : new int[] {3, 4, 5, 12, 40}) {
            for (int seed = 0; seed < 5; seed++) {
                SimulatedNetwork network = startCluster(seed, size);
                network.crash(SimulatedNetwork.memberName(seed % size));
                network.runFor(5 * SECOND_MICROS);
                assertThat(network.assertAgreedView(size - 1).id().number())
                        .as("size %d seed %d", size, seed)
                        .isEqualTo(2);
            }
        }
    }

    @Test
    @Timeout(60)
    void crashOfAThirdTakesAtMostTwoViews() {
        for (int seed = 0; seed < 10; seed++) {
            SimulatedNetwork network = startCluster(seed, 12);
            for (int i = 0; i < 4; i++) {
                network.crash(SimulatedNetwork.memberName((seed + i) % 12));
            }
            network.runFor(8 * SECOND_MICROS);
            assertThat(network.assertAgreedView(8).id().number())
                    .as("seed %d", seed)
                    .isBetween(2L, 3L);
        }
    }

    @Test
    @Timeout(60)
    void messageLossAndSuspendedProcessesRemoveNoMember() {
        for (int seed = 0; seed < 5; seed++) {
            SimulatedNetwork network = startCluster(seed, 12);
            network.lossProbability = 0.3;
            network.runFor(30 * SECOND_MICROS);
            assertThat(network.views).as("seed %d, 30%% loss", seed).hasSize(1);
            network.lossProbability = 0;
            network.suspendedUntil.put(SimulatedNetwork.memberName(3), network.nowMicros + 1_500_000);
            network.runFor(10 * SECOND_MICROS);
            assertThat(network.views).as("seed %d, suspended for 1.5 s", seed).hasSize(1);
            for (int i = 0; i < 3; i++) { // members that resume at the same time must not suspect others
                network.suspendedUntil.put(SimulatedNetwork.memberName(i), network.nowMicros + 1_500_000);
            }
            network.runFor(10 * SECOND_MICROS);
            assertThat(network.views).as("seed %d, a quarter suspended", seed).hasSize(1);
        }
    }

    @Test
    @Timeout(60)
    void oneWayPartitionOfAPairRemovesNoMemberAndAnUnreachableMemberIsRemovedAndRejoins() {
        for (int seed = 0; seed < 5; seed++) {
            SimulatedNetwork network = startCluster(seed, 12);
            network.partition = (from, to) -> from.equals("m001") && to.equals("m002");
            network.runFor(20 * SECOND_MICROS);
            assertThat(network.views)
                    .as("seed %d: messages from m001 to m002 are lost", seed)
                    .hasSize(1);
            network.partition = (from, to) -> from.equals("m001");
            network.runFor(20 * SECOND_MICROS);
            assertThat(network.members.get("m000").view().size()).isEqualTo(11);
            assertThat(network.views.keySet()).as("no flapping").hasSize(2);
            network.partition = (from, to) -> false;
            network.runFor(8 * SECOND_MICROS);
            assertThat(network.assertAgreedView(12).id().number()).isEqualTo(3);
        }
    }

    @Test
    @Timeout(60)
    void minorityKeepsItsViewAndInstallsTheMajoritysViewAfterThePartitionHeals() {
        for (int seed = 0; seed < 5; seed++) {
            SimulatedNetwork network = startCluster(seed, 12);
            network.partition = (from, to) -> from.compareTo("m005") < 0 != to.compareTo("m005") < 0;
            network.runFor(20 * SECOND_MICROS);
            assertThat(network.members.get("m000").view().id().number())
                    .as("seed %d: five of twelve", seed)
                    .isEqualTo(1);
            assertThat(network.members.get("m011").view().size()).isEqualTo(7);
            network.partition = (from, to) -> false;
            network.runFor(12 * SECOND_MICROS);
            network.assertAgreedView(12);
        }
    }

    @Test
    @Timeout(60)
    void restartAnnouncedDepartureAndJoinsTakeAtMostFiveViews() {
        SimulatedNetwork network = startCluster(1, 12);
        network.crash("m004");
        network.startMember(SimulatedNetwork.member("m004", 2), List.of("m000", "m001"), null);
        network.runFor(8 * SECOND_MICROS);
        assertThat(network.assertAgreedView(12).memberNamed("m004").id().incarnation())
                .isEqualTo(2);
        assertThat(network.views.size()).isEqualTo(2);
        network.members.get("m007").leave();
        network.scheduleTurn("m007");
        network.runFor(3 * SECOND_MICROS);
        assertThat(network.members.get("m000").view().size()).isEqualTo(11);
        network.crash("m007");
        for (int i = 20; i < 26; i++) {
            network.startMember(
                    SimulatedNetwork.member(SimulatedNetwork.memberName(i), 1), List.of("m000", "m001"), null);
        }
        network.runFor(8 * SECOND_MICROS);
        network.assertAgreedView(17);
        assertThat(network.views.size()).isLessThanOrEqualTo(5);
        network.runFor(10 * SECOND_MICROS);
        network.members.forEach((name, membership) -> assertThat(
                        network.crashed.contains(name) || membership.isQuorumReachable(network.nowMicros))
                .as("%s keeps observing after others joined", name)
                .isTrue());
        network.crash("m002");
        network.runFor(5 * SECOND_MICROS);
        network.assertAgreedView(16);
    }
}
