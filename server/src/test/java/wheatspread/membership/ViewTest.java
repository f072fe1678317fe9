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

/** Tests observers, watermarks, quorums and the view that results from a change. */
class ViewTest {
    private static Member member(String name, long incarnation) {
        return new Member(new MemberId(name, incarnation), "", "", "", 0);
    }

    private static View view(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(member("server-" + i, 7));
        }
        Collections.shuffle(members, new Random(size));
        return new View(new ViewId(5, 1), members);
    }

    @Test
    void anyTwoFastQuorumsIntersectInEveryClassicQuorum() {
        for (int size = 1; size < 200; size++) {
            View view = view(size);
            assertThat(2 * view.classicQuorum()).isGreaterThan(size);
            assertThat(view.classicQuorum() + 2 * view.fastQuorum()).isGreaterThan(2 * size);
            assertThat(view.fastQuorum()).isBetween(view.classicQuorum(), size);
        }
    }

    @Test
    void everyMemberHasADifferentSetOfObserversAndABoundedNumberOfSubjects() {
        View view = view(200);
        int[] subjectCounts = new int[view.size()];
        Set<String> observerSets = new HashSet<>();
        for (int i = 0; i < view.size(); i++) {
            int[] observers = view.observersOf(i);
            assertThat(observers)
                    .hasSize(View.OBSERVERS_PER_SUBJECT)
                    .doesNotHaveDuplicates()
                    .doesNotContain(i);
            for (int observer : observers) {
                subjectCounts[observer]++;
            }
            Arrays.sort(observers);
            observerSets.add(Arrays.toString(observers));
        }
        assertThat(Arrays.stream(subjectCounts).max().orElseThrow()).isLessThan(3 * View.OBSERVERS_PER_SUBJECT);
        assertThat(observerSets).as("no two have the same observers").hasSize(200);
        assertThat(view(3).observersOf(0)).containsExactlyInAnyOrder(1, 2);
        assertThat(view(1).observersOf(0)).isEmpty();
    }

    @Test
    void singleReportNeverReachesTheHighWatermarkOfTwoObserversOrMore() {
        assertThat(View.highWatermark(1)).isEqualTo(1);
        for (int observerCount = 2; observerCount <= View.OBSERVERS_PER_SUBJECT; observerCount++) {
            assertThat(View.highWatermark(observerCount)).isBetween(2, observerCount);
            assertThat(View.lowWatermark(observerCount)).isBetween(1, View.highWatermark(observerCount));
        }
        assertThat(View.highWatermark(View.OBSERVERS_PER_SUBJECT)).isEqualTo(8);
    }

    @Test
    void restartedMemberReplacesItsEarlierIncarnation() {
        View view = view(4);
        MemberId previous = view.members().get(2).id();
        Member restarted = member(previous.name(), 8);
        View after = view.withChange(ViewChange.of(List.of(previous), List.of(restarted)));
        assertThat(after.indexOf(previous)).isEqualTo(-1);
        assertThat(after.indexOf(restarted.id())).isEqualTo(2);
        assertThat(after.memberNamed(previous.name())).isEqualTo(restarted);
        assertThat(after.id()).isGreaterThan(view.id());
        assertThatThrownBy(() -> view.withChange(ViewChange.of(List.of(), List.of(restarted))))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(previous.name());
    }
}
