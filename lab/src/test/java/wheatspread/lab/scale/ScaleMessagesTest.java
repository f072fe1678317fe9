package wheatspread.lab.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The messages between the processes of a scale run, the log events it parses, and its process plan. */
class ScaleMessagesTest {
    private static final MemberSpec MEMBER = new MemberSpec("h1", 17, "127.0.0.1:7400", "r1-z2");

    @Test
    void parsesEveryOrderThatItWrites() {
        for (HollowOrder order : List.of(
                new HollowOrder.Start(List.of(MEMBER, MEMBER.withStart(18))),
                new HollowOrder.Crash(Set.of("h1", "h2")),
                new HollowOrder.Restart(MEMBER, true),
                new HollowOrder.Links(new LinkFaults(0.2, Set.of("127.0.0.1:1"), Set.of("127.0.0.1:2"))),
                new HollowOrder.Report())) {
            assertThat(order.toLine()).doesNotContain("\n");
            assertThat(HollowOrder.fromLine(order.toLine())).isEqualTo(order);
        }
        assertThatThrownBy(() -> HollowOrder.fromLine("{\"order\":\"melt\"}"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("unknown order melt");
    }

    @Test
    void parsesReportThatItWrites() {
        HollowReport report = new HollowReport(3, Map.of("5.1/3/ab", 3), 1, 0, 2, 44, 5_000, 1, Set.of("h1#17"));
        assertThat(HollowReport.fromLine(report.toLine())).isEqualTo(report);
    }

    @Test
    void parsesViewAndRemovedMembersFromLogLine() {
        ViewEvents.ViewEvent event =
                ViewEvents.parse("2026-01-01T00:00:00Z INFO view id=54.3 members=4 list=ab1 in=true come=[h9#9] "
                        + "gone=\"[h1#17 MISSED [h2, h3], m2#5 LEFT [], h4#6 RESTARTED [h2], h5#7 TOLD []]\"");
        assertThat(event.view()).isEqualTo(new ViewKey("54.3", 4, "ab1"));
        assertThat(ViewKey.parse(event.view().toString())).isEqualTo(event.view());
        assertThat(event.inView()).isTrue();
        assertThat(event.removed()).containsExactlyInAnyOrder("h1#17", "h5#7");
        assertThat(ViewEvents.parse("INFO phase from=BINDING to=SERVING")).isNull();
    }

    @Test
    void partitionDropsMessagesBetweenSidesAndLossDropsConfiguredShare() {
        FaultyLinks links = new FaultyLinks("a", new SplittableRandom(3));
        assertThat(links.receives("b") && links.sends("b")).isTrue();
        links.set(new LinkFaults(0, Set.of("a", "c"), Set.of("d")));
        assertThat(links.receives("c")).isTrue();
        assertThat(links.receives("b")).isFalse();
        assertThat(links.sends("b")).as("dropped by the receiver").isTrue();
        assertThat(links.sends("d")).as("receiver has no link filter").isFalse();
        links.set(new LinkFaults(0.2, Set.of(), Set.of()));
        int lost = 0;
        for (int i = 0; i < 10_000; i++) {
            lost += links.receives("b") ? 0 : 1;
        }
        assertThat(lost).isBetween(1_850, 2_150);
    }

    @Test
    void spreadsMembersEvenlyOverFewestProcesses() {
        HollowPlan plan = new HollowPlan(1_400, 1_408);
        assertThat(plan.processes()).isEqualTo(4);
        HollowPlan uneven = new HollowPlan(701, 709);
        assertThat(uneven.processes()).isEqualTo(3);
        assertThat(uneven.membersOf(0) + uneven.membersOf(1) + uneven.membersOf(2))
                .isEqualTo(701);
    }

    @Test
    void refusesFleetThatExceedsMachineInOneLine() {
        Preflight.Resources enough = new Preflight.Resources(32_000, 30_000, 20_000);
        assertThat(Preflight.refusal(1_400, 8, enough)).isNull();
        assertThat(Preflight.refusal(1_400, 8, new Preflight.Resources(8_000, 7_900, 20_000)))
                .contains("MB of memory; half of this machine's is 4000 MB")
                .doesNotContain("\n");
        assertThat(Preflight.refusal(1_400, 8, new Preflight.Resources(32_000, 3_000, 20_000)))
                .endsWith("3000 MB are available now");
        assertThat(Preflight.refusal(1_400, 8, new Preflight.Resources(32_000, 30_000, 1_024)))
                .endsWith("descriptors in a process; the limit is 1024");
        assertThat(Preflight.refusal(200_000, 8, new Preflight.Resources(1L << 40, 1L << 40, 1L << 30)))
                .endsWith("processes; allowed are 300");
    }
}
