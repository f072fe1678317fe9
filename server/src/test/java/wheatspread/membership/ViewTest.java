package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who watches whom, how many are enough, and how one view leads to the next. */
class ViewTest {
    private static Member member(String name, long start) {
        return new Member(new MemberId(name, start), "", "", "", 0);
    }

    private static View view(int size) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(member("server-" + i, 7));
        }
        Collections.shuffle(all, new Random(size));
        return new View(new ViewId(5, 1), all);
    }

    @Test
    void anyTwoFastQuorumsMeetInEveryClassicOne() {
        for (int size = 1; size < 200; size++) {
            View view = view(size);
            assertThat(2 * view.classicQuorum()).isGreaterThan(size);
            assertThat(view.classicQuorum() + 2 * view.fastQuorum()).isGreaterThan(2 * size);
            assertThat(view.fastQuorum()).isBetween(view.classicQuorum(), size);
        }
    }

    @Test
    void eachIsWatchedByOthersAndWatchesAboutAsMany() {
        View view = view(200);
        int[] watching = new int[view.size()];
        Set<String> sets = new HashSet<>();
        for (int i = 0; i < view.size(); i++) {
            int[] watchers = view.observersOf(i);
            assertThat(watchers)
                    .hasSize(View.OBSERVERS_PER_SUBJECT)
                    .doesNotHaveDuplicates()
                    .doesNotContain(i);
            for (int one : watchers) {
                watching[one]++;
            }
            Arrays.sort(watchers);
            sets.add(Arrays.toString(watchers));
        }
        assertThat(Arrays.stream(watching).max().orElseThrow()).isLessThan(3 * View.OBSERVERS_PER_SUBJECT);
        assertThat(sets).as("no two are watched by the same ones").hasSize(200);
        assertThat(view(3).observersOf(0)).containsExactlyInAnyOrder(1, 2);
        assertThat(view(1).observersOf(0)).isEmpty();
    }

    @Test
    void oneWatchersWordIsNeverEnoughWhereThereAreTwo() {
        assertThat(View.highWatermark(1)).isEqualTo(1);
        for (int of = 2; of <= View.OBSERVERS_PER_SUBJECT; of++) {
            assertThat(View.highWatermark(of)).isBetween(2, of);
            assertThat(View.lowWatermark(of)).isBetween(1, View.highWatermark(of));
        }
        assertThat(View.highWatermark(View.OBSERVERS_PER_SUBJECT)).isEqualTo(8);
    }

    @Test
    void aRestartedMemberTakesThePlaceOfTheOldOne() {
        View view = view(4);
        MemberId old = view.members().get(2).id();
        Member next = member(old.name(), 8);
        View after = view.withChange(ViewChange.of(List.of(old), List.of(next)));
        assertThat(after.indexOf(old)).isEqualTo(-1);
        assertThat(after.indexOf(next.id())).isEqualTo(2);
        assertThat(after.memberNamed(old.name())).isEqualTo(next);
        assertThat(after.id()).isGreaterThan(view.id());
        assertThatThrownBy(() -> view.withChange(ViewChange.of(List.of(), List.of(next))))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(old.name());
    }
}
