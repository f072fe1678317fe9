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

/** Which reports lead to which change. */
class CutDetectorTest {
    private static Member member(int number, long start) {
        return new Member(new MemberId(String.format("m%03d", number), start), "", "", "", 0);
    }

    private static View view(int size) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(member(i, 7));
        }
        return new View(new ViewId(1, 1), all);
    }

    private static void report(CutDetector tally, int member, int watchers) {
        for (int slot = 0; slot < watchers; slot++) {
            tally.onReport(member, slot, 1);
        }
    }

    @Test
    void oneWordMovesNothingAndTheHighMarkDoes() {
        for (int size : new int[] {3, 4, 7, 30}) {
            View view = view(size);
            CutDetector tally = new CutDetector(view, 10);
            int watchers = view.observersOf(1).length;
            report(tally, 1, 1);
            assertThat(tally.change(true)).as("one of %d", watchers).isNull();
            report(tally, 1, View.highWatermark(watchers) - 1);
            assertThat(tally.change(true)).isNull();
            report(tally, 1, View.highWatermark(watchers));
            assertThat(tally.change(false))
                    .isEqualTo(ViewChange.of(List.of(view.members().get(1).id()), List.of()));
        }
    }

    @Test
    void whoStandsBetweenTheMarksIsWaitedForAndStays() {
        View view = view(30);
        CutDetector tally = new CutDetector(view, 10);
        report(tally, 1, 10);
        report(tally, 2, 4);
        assertThat(tally.change(false)).isNull();
        assertThat(tally.change(true).out())
                .containsExactly(view.members().get(1).id());
        for (int slot = 0; slot < 4; slot++) {
            assertThat(tally.onReport(2, slot, 2)).as("taken back").isTrue();
            assertThat(tally.onReport(2, slot, 1))
                    .as("an old word that comes late")
                    .isFalse();
        }
        assertThat(tally.change(false).out())
                .containsExactly(view.members().get(1).id());
    }

    /** Half of the watchers of a member of the zone are gone with it, and can't report it. */
    @Test
    void aZoneThatFallsIsOneChange() {
        View view = view(30);
        CutDetector tally = new CutDetector(view, 10);
        for (int i = 0; i < 10; i++) {
            int[] watchers = view.observersOf(i);
            for (int slot = 0; slot < watchers.length; slot++) {
                if (watchers[slot] >= 10) {
                    tally.onReport(i, slot, 1);
                }
            }
        }
        assertThat(tally.change(false).out())
                .hasSize(10)
                .allMatch(id -> id.name().compareTo("m010") < 0);
    }

    @Test
    void aServerThatWasRestartedUnnoticedTakesItsOldPlaceInOneChange() {
        View view = view(12);
        CutDetector tally = new CutDetector(view, 2);
        Member next = member(3, 8);
        assertThat(tally.onJoining(member(3, 6))).as("an older start").isFalse();
        assertThat(tally.onJoining(next)).isTrue();
        assertThat(tally.onJoining(next)).isFalse();
        assertThat(tally.observersOfJoiner(next.id())).doesNotContain(3).hasSize(10);
        for (int slot = 0; slot < 8; slot++) {
            assertThat(tally.change(true)).isNull();
            tally.onJoinerReachable(next.id(), slot, 1);
        }
        assertThat(tally.change(true))
                .isEqualTo(ViewChange.of(List.of(view.members().get(3).id()), List.of(next)));
        assertThat(tally.onJoining(member(20, 1))).isTrue();
        assertThat(tally.onJoining(member(21, 1))).as("beyond the bound").isFalse();
    }

    @Test
    void whoLeavesGoesByItsOwnWord() {
        View view = view(5);
        CutDetector tally = new CutDetector(view, 2);
        assertThat(tally.onLeaving(4)).isTrue();
        assertThat(tally.onLeaving(4)).isFalse();
        assertThat(tally.change(false).out())
                .containsExactly(view.members().get(4).id());
    }

    /** The order in which news comes changes nothing, and nobody goes whom few report. */
    @Property(tries = 300)
    void theSameNewsInAnyOrderIsTheSameChange(@ForAll Random random, @ForAll @IntRange(min = 3, max = 40) int size) {
        View view = view(size);
        List<int[]> news = new ArrayList<>();
        for (int i = 0; i < random.nextInt(size * 6); i++) {
            int subject = random.nextInt(size);
            int slots = view.observersOf(subject).length;
            news.add(new int[] {subject, random.nextInt(slots), 1 + random.nextInt(3)});
        }
        CutDetector one = new CutDetector(view, 10);
        news.forEach(word -> one.onReport(word[0], word[1], word[2]));
        Collections.shuffle(news, random);
        CutDetector other = new CutDetector(view, 10);
        news.forEach(word -> other.onReport(word[0], word[1], word[2]));
        for (boolean hasty : new boolean[] {false, true}) {
            ViewChange change = one.change(hasty);
            assertThat(other.change(hasty)).isEqualTo(change);
            if (change != null) {
                for (MemberId gone : change.out()) {
                    int index = view.indexOf(gone);
                    int low = View.lowWatermark(view.observersOf(index).length);
                    assertThat(one.downReports(index)).isGreaterThanOrEqualTo(low);
                }
            }
        }
    }
}
