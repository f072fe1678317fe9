package wheatspread.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.connections.Connection.State;

class ConnectionTableTest extends ConnectionTableFixture {
    @Test
    void connectionPassesThroughItsStates() {
        Connection connection = open("a", 1);
        assertThat(connection.state()).isEqualTo(State.NEW);
        table.read(connection, now, false, 0, 10);
        assertThat(connection.state()).isEqualTo(State.PARTIAL_MESSAGE);
        table.read(connection, now, true, 2, 0);
        assertThat(connection.state()).isEqualTo(State.AWAITING_ANSWERS);
        table.read(connection, now, false, 2, 5);
        assertThat(connection.state()).isEqualTo(State.PARTIAL_MESSAGE);
        table.answered(connection, now, 1);
        table.read(connection, now, true, 2, 0);
        table.answered(connection, now, 0);
        assertThat(connection.state()).isEqualTo(State.IDLE);
        assertThat(table.partialBytes()).isZero();
        table.read(connection, now, true, 1, 0);
        table.drain(connection, now);
        assertThat(connection.state()).isEqualTo(State.DRAINING);
        table.answered(connection, now, 0);
        assertThat(connection.state()).isEqualTo(State.LINGERING);
        table.closed(connection);
        table.closed(connection);
        assertThat(connection.state()).isEqualTo(State.CLOSED);
        assertThat(table.size()).isZero();
    }

    @Test
    void eachStateHasItsTimeLimitAndUseRestartsIt() {
        table = table(100, 0, 10 * SECOND);
        open("silent", 1);
        Connection partial = open("half", 1);
        Connection used = idle("used", 1);
        idle("rests", 1);
        Connection asking = open("asks", 1);
        table.read(asking, now, true, 1, 0);
        table.read(partial, now, false, 0, 5);
        assertThat(table.nextExpiryMicros()).isEqualTo(now + 2 * SECOND);
        assertThat(expire(2 * SECOND)).containsExactly("silent leaves");
        table.read(partial, now, false, 0, 6);
        table.read(used, now, true, 0, 0);
        assertThat(expire(SECOND))
                .as("the limit counts from the first byte of the message")
                .containsExactly("half leaves", "silent closed");
        assertThat(expire(SECOND)).as("a caller that does not close").containsExactly("half closed");
        assertThat(expire(6 * SECOND)).containsExactly("rests leaves");
        assertThat(expire(2 * SECOND)).containsExactly("used leaves", "rests closed");
        assertThat(expire(SECOND)).containsExactly("used closed");
        assertThat(table.nextExpiryMicros())
                .as("awaiting an answer has no limit here")
                .isEqualTo(Long.MAX_VALUE);
        assertThat(Arrays.toString(table.counters().fields()))
                .contains("closed_silent, 1", "closed_half, 1", "closed_idle, 2", "closed_lingering, 4");
    }

    /** A slow reader gets its answers as long as it takes some; one that takes none is cut off. */
    @Test
    void lingeringConnectionGetsItsTimeAgainWhileItTakesAnswers() {
        Connection slow = open("slow", 1);
        Connection stuck = open("stuck", 1);
        advancing.add("slow");
        for (Connection connection : List.of(slow, stuck)) {
            table.read(connection, now, true, 1, 0);
            table.drain(connection, now);
            table.answered(connection, now, 0);
            assertThat(connection.state()).isEqualTo(State.LINGERING);
        }
        assertThat(expire(SECOND)).containsExactly("stuck closed");
        assertThat(expire(SECOND)).isEmpty();
        advancing.clear();
        assertThat(expire(SECOND)).containsExactly("slow closed");
    }

    /** A flood fills the table within the grace; a later connection may carry a health check. */
    @Test
    void floodOfSilentCallersKeepsNobodyOut() {
        table = table(3, 0, 0);
        Connection asking = open("asks", 1);
        table.read(asking, now, true, 1, 0);
        Connection partial = open("half", 2);
        table.read(partial, now, false, 0, 5);
        open("silent", 2);
        now += SECOND / 100;
        assertThat(open("check", 3)).isNotNull();
        assertThat(events).containsExactly("silent closed");
        table.read(table.admit(new FakeActions("check 2"), 3, now), now, true, 1, 0);
        assertThat(events).containsExactly("silent closed", "check closed");
        open("check 3", 3);
        assertThat(events).endsWith("half closed");
        table.read(open("check 4", 3), now, true, 1, 0);
        assertThat(events).endsWith("check 3 closed");
        assertThat(open("none waits", 3)).as("all wait for answers").isNull();
    }

    /** Its bytes may be a request: the next one is evicted instead, and none if all have unread bytes. */
    @Test
    void connectionWithUnreadBytesIsNotEvicted() {
        table = table(2, 0, 0);
        Connection woken = idle("woken", 1);
        idle("rests", 1);
        woken.setUnread(true);
        Connection next = open("new", 1);
        assertThat(events).containsExactly("rests closed");
        next.setUnread(true);
        assertThat(open("one too many", 2)).isNull();
        assertThat(events).containsExactly("rests closed");
    }

    /** All its requests are answered, so another caller needs its descriptor more. */
    @Test
    void lingeringConnectionIsEvictedFirst() {
        table = table(3, 0, 0);
        open("silent", 1);
        now += SECOND;
        idle("rests", 1);
        Connection lingering = idle("lingers", 1);
        table.drain(lingering, now);
        open("new", 1);
        assertThat(events).containsExactly("lingers closed");
    }

    @Test
    void connectionThatWaitsForThisServerIsNotClosed() {
        Connection partial = open("half", 1);
        table.read(partial, now, false, 0, 5);
        partial.setUnread(true);
        assertThat(expire(4 * SECOND)).isEmpty();
        partial.setUnread(false);
        assertThat(expire(2 * SECOND)).as("its time limit restarts").isEmpty();
        assertThat(expire(SECOND)).containsExactly("half leaves");
        Connection asked = open("asked", 1);
        table.read(asked, now, true, 1, 0);
        table.drain(asked, now);
        assertThat(expire(5 * SECOND)).as("its answer is pending").containsExactly("half closed");
        assertThat(asked.state()).isEqualTo(State.DRAINING);
    }

    @Test
    void idleTimeoutMayBeSetAtRunTime() {
        idle("a", 1);
        assertThat(expire(60 * SECOND)).isEmpty();
        table.closeIdle(SECOND);
        assertThat(table.nextExpiryMicros()).isLessThan(now);
        assertThat(expire(0)).containsExactly("a leaves");
        assertThat(expire(SECOND)).containsExactly("a closed");
        table.closeIdle(0);
        idle("b", 1);
        assertThat(expire(60 * SECOND)).isEmpty();
    }

    /** 19,000 limits that end at once are dealt with in parts. */
    @Test
    void expiryIsBoundedPerIteration() {
        table = table(19_000, 0, SECOND);
        for (int i = 0; i < 19_000; i++) {
            idle("c", i % 50);
        }
        now += SECOND;
        for (int iteration = 1; iteration <= 190; iteration++) {
            assertThat(table.nextExpiryMicros()).isLessThanOrEqualTo(now);
            assertThat(table.expire(now, 100)).isEqualTo(100);
            assertThat(table.count(State.IDLE)).isEqualTo(19_000 - 100 * iteration);
        }
        assertThat(events).hasSize(19_000).containsOnly("c leaves");
        assertThat(table.nextExpiryMicros()).isEqualTo(now + SECOND);
        now += SECOND;
        for (int iteration = 1; iteration <= 190; iteration++) {
            assertThat(table.nextExpiryMicros()).isLessThanOrEqualTo(now);
            assertThat(table.expire(now, 100)).isEqualTo(100);
            assertThat(table.size()).isEqualTo(19_000 - 100 * iteration);
        }
        assertThat(table.nextExpiryMicros()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void evictsSilentThenPartialThenIdleOfTheLargestSource() {
        idle("lone", 1);
        idle("first of many", 2);
        idle("second of many", 2);
        Connection partial = open("half", 3);
        table.read(partial, now, false, 0, 5);
        now += SECOND / 2;
        open("new", 4);
        assertThat(events).containsExactly("half closed");
        open("newer", 5);
        assertThat(events).as("the new one is still within the grace").endsWith("first of many closed");
        now += SECOND / 2;
        open("newest", 6);
        assertThat(events).endsWith("new closed");
        assertThat(table.counters().evicted()).isEqualTo(3);
    }

    @Test
    void connectionWithAnOpenRequestIsNeverEvicted() {
        for (int i = 0; i < 4; i++) {
            Connection connection = open("asks", 1);
            table.read(connection, now, true, 1, i % 2 * 5);
        }
        now += 2 * SECOND;
        assertThat(open("new", 2)).isNull();
        assertThat(events).isEmpty();
        assertThat(table.counters().rejected()).isOne();
    }

    @Test
    void sourceAtItsLimitEvictsOneOfItsOwn() {
        table = table(100, 2, 0);
        idle("a1", 1);
        Connection asking = open("a2", 1);
        table.read(asking, now, true, 1, 0);
        assertThat(open("a3", 1)).isNotNull();
        assertThat(events).containsExactly("a1 closed");
        assertThat(open("a4", 1)).as("none of its own is idle").isNull();
        assertThat(open("b1", 2)).isNotNull();
        assertThat(Arrays.toString(table.counters().fields())).contains("refused_source, 1");
    }

    @Test
    void partialMessagesOfAllConnectionsAreBounded() {
        table = table(100, 0, 0);
        List<Connection> all = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            all.add(open("c" + i, i));
            table.read(all.get(i), now, false, 0, 100);
        }
        assertThat(events).isEmpty();
        Connection last = open("last", 10);
        table.read(last, now, false, 0, 150);
        assertThat(events).containsExactly("c0 leaves", "c1 leaves");
        assertThat(table.partialBytes()).isEqualTo(950);
    }

    /** Every partial message is buffered until it is whole, which it never is here. */
    @Test
    void partialMessagesOfManyConnectionsStayWithinTheBound() {
        table = table(19_000, 0, 0);
        for (int i = 0; i < 19_000; i++) {
            Connection connection = open("c", i % 100);
            table.read(connection, now, false, 0, 40);
            assertThat(table.partialBytes()).isLessThanOrEqualTo(1_000);
        }
        assertThat(events).hasSize(19_000 - 25).containsOnly("c leaves");
        expire(SECOND);
        assertThat(events)
                .as("connections that do not close are cut off")
                .hasSize(100)
                .containsOnly("c closed");
    }

    @Test
    void acceptsAreRateLimited() {
        assertThat(table.pauseAfterAccept(now)).as("a burst of two").isZero();
        assertThat(table.pauseAfterAccept(now)).isEqualTo(SECOND / 100);
        assertThat(table.pauseAfterAccept(now)).isEqualTo(2 * SECOND / 100);
        assertThat(table.pauseAfterAccept(now + 10 * SECOND)).isZero();
    }

    @Test
    void clockSetBackKeepsTheOrder() {
        table = table(100, 0, SECOND);
        idle("a", 1);
        now -= 30 * SECOND;
        idle("b", 1);
        now += 31 * SECOND;
        assertThat(expire(0)).containsExactly("a leaves", "b leaves");
        assertThat(expire(SECOND)).containsExactly("a closed", "b closed");
    }
}
