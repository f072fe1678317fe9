package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the view changes that result from reports, announced departures and join requests. */
class CutDetectorTest {
    private static Member member(int number, long incarnation) {
        return new Member(new MemberId(String.format("m%03d", number), incarnation), "", "", "", 0);
    }

    private static View view(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(member(i, 7));
        }
        return new View(new ViewId(1, 1), members);
    }

    private static void reportDown(CutDetector detector, int member, int observers) {
        for (int observer = 0; observer < observers; observer++) {
            detector.onReport(member, observer, 1);
        }
    }

    @Test
    void singleReportChangesNothingAndTheHighWatermarkRemoves() {
        for (int size : new int[] {3, 4, 7, 30}) {
            View view = view(size);
            CutDetector detector = new CutDetector(view, 10);
            int observers = view.observersOf(1).length;
            reportDown(detector, 1, 1);
            assertThat(detector.change(true))
                    .as("one of %d observers", observers)
                    .isNull();
            reportDown(detector, 1, View.highWatermark(observers) - 1);
            assertThat(detector.change(true)).isNull();
            reportDown(detector, 1, View.highWatermark(observers));
            assertThat(detector.change(false))
                    .isEqualTo(ViewChange.of(List.of(view.members().get(1).id()), List.of()));
        }
    }

    @Test
    void unstableMemberBlocksTheChangeAndStaysInTheView() {
        View view = view(30);
        CutDetector detector = new CutDetector(view, 10);
        reportDown(detector, 1, 10);
        reportDown(detector, 2, 4);
        assertThat(detector.change(false)).isNull();
        assertThat(detector.change(true).removed())
                .containsExactly(view.members().get(1).id());
        for (int observer = 0; observer < 4; observer++) {
            assertThat(detector.onReport(2, observer, 2)).as("withdrawn").isTrue();
            assertThat(detector.onReport(2, observer, 1))
                    .as("an older report that arrives late")
                    .isFalse();
        }
        assertThat(detector.change(false).removed())
                .containsExactly(view.members().get(1).id());
    }

    /** Guards against several changes for a crashed zone: the observers in the zone crashed too and cannot report. */
    @Test
    void crashedZoneIsOneChange() {
        View view = view(30);
        CutDetector detector = new CutDetector(view, 10);
        for (int i = 0; i < 10; i++) {
            int[] observers = view.observersOf(i);
            for (int observer = 0; observer < observers.length; observer++) {
                if (observers[observer] >= 10) {
                    detector.onReport(i, observer, 1);
                }
            }
        }
        assertThat(detector.change(false).removed())
                .hasSize(10)
                .allMatch(id -> id.name().compareTo("m010") < 0);
    }

    @Test
    void restartedServerReplacesItsEarlierIncarnationInOneChange() {
        View view = view(12);
        CutDetector detector = new CutDetector(view, 2);
        Member restarted = member(3, 8);
        assertThat(detector.onJoining(member(3, 6)))
                .as("an earlier incarnation")
                .isFalse();
        assertThat(detector.onJoining(restarted)).isTrue();
        assertThat(detector.onJoining(restarted)).isFalse();
        assertThat(detector.observersOfJoiner(restarted.id())).doesNotContain(3).hasSize(10);
        for (int observer = 0; observer < 8; observer++) {
            assertThat(detector.change(true)).isNull();
            detector.onJoinerReachable(restarted.id(), observer, 1);
        }
        assertThat(detector.change(true))
                .isEqualTo(ViewChange.of(List.of(view.members().get(3).id()), List.of(restarted)));
        assertThat(detector.onJoining(member(20, 1))).isTrue();
        assertThat(detector.onJoining(member(21, 1)))
                .as("more joiners than the limit")
                .isFalse();
    }

    @Test
    void leavingMemberIsRemovedWithoutReports() {
        View view = view(5);
        CutDetector detector = new CutDetector(view, 2);
        assertThat(detector.onLeaving(4)).isTrue();
        assertThat(detector.onLeaving(4)).isFalse();
        assertThat(detector.change(false).removed())
                .containsExactly(view.members().get(4).id());
    }

    /** Checks that the order of reports has no effect, and that no member below the low watermark is removed. */
    @Property(tries = 300)
    void reportsInAnyOrderLeadToTheSameChange(@ForAll Random random, @ForAll @IntRange(min = 3, max = 40) int size) {
        View view = view(size);
        List<int[]> reports = new ArrayList<>();
        for (int i = 0; i < random.nextInt(size * 6); i++) {
            int subject = random.nextInt(size);
            int observers = view.observersOf(subject).length;
            reports.add(new int[] {subject, random.nextInt(observers), 1 + random.nextInt(3)});
        }
        CutDetector first = new CutDetector(view, 10);
        reports.forEach(report -> first.onReport(report[0], report[1], report[2]));
        Collections.shuffle(reports, random);
        CutDetector second = new CutDetector(view, 10);
        reports.forEach(report -> second.onReport(report[0], report[1], report[2]));
        for (boolean ignoreUnstable : new boolean[] {false, true}) {
            ViewChange change = first.change(ignoreUnstable);
            assertThat(second.change(ignoreUnstable)).isEqualTo(change);
            if (change != null) {
                for (MemberId removed : change.removed()) {
                    int index = view.indexOf(removed);
                    int lowWatermark = View.lowWatermark(view.observersOf(index).length);
                    assertThat(first.downReports(index)).isGreaterThanOrEqualTo(lowWatermark);
                }
            }
        }
    }
}
