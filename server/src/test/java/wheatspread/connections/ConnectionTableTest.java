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
        Connection connection = admit("a", 1);
        assertThat(connection.state()).isEqualTo(State.NEW);
        table.read(connection, nowMicros, false, 0, 10);
        assertThat(connection.state()).isEqualTo(State.PARTIAL_MESSAGE);
        table.read(connection, nowMicros, true, 2, 0);
        assertThat(connection.state()).isEqualTo(State.AWAITING_ANSWERS);
        table.read(connection, nowMicros, false, 2, 5);
        assertThat(connection.state()).isEqualTo(State.AWAITING_ANSWERS);
        table.answered(connection, nowMicros, 0);
        assertThat(connection.state()).isEqualTo(State.PARTIAL_MESSAGE);
        table.read(connection, nowMicros, true, 2, 0);
        table.answered(connection, nowMicros, 0);
        assertThat(connection.state()).isEqualTo(State.IDLE);
        assertThat(table.partialBytes()).isZero();
        table.read(connection, nowMicros, true, 1, 0);
        table.drain(connection, nowMicros);
        assertThat(connection.state()).isEqualTo(State.DRAINING);
        table.answered(connection, nowMicros, 0);
        assertThat(connection.state()).isEqualTo(State.LINGERING);
        table.closed(connection);
        table.closed(connection);
        assertThat(connection.state()).isEqualTo(State.CLOSED);
        assertThat(table.size()).isZero();
    }

    @Test
    void useRestartsTheTimeLimitOfAState() {
        table = table(100, 0, 10 * SECOND_MICROS);
        admit("silent", 1);
        Connection partial = admit("partial", 1);
        Connection used = admitIdle("used", 1);
        admitIdle("idle", 1);
        Connection awaiting = admit("awaiting", 1);
        table.read(awaiting, nowMicros, true, 1, 0);
        table.read(partial, nowMicros, false, 0, 5);
        assertThat(table.nextExpiryMicros()).isEqualTo(nowMicros + 2 * SECOND_MICROS);
        assertThat(expire(2 * SECOND_MICROS)).containsExactly("silent drained");
        table.read(partial, nowMicros, false, 0, 6);
        table.read(used, nowMicros, true, 0, 0);
        assertThat(expire(SECOND_MICROS))
                .as("the limit counts from the first byte of the message")
                .containsExactly("partial drained", "silent closed");
        assertThat(expire(SECOND_MICROS))
                .as("a client that does not close its drained connection is disconnected")
                .containsExactly("partial closed");
        assertThat(expire(6 * SECOND_MICROS)).containsExactly("idle drained");
        assertThat(expire(2 * SECOND_MICROS)).containsExactly("used drained", "idle closed");
        assertThat(expire(SECOND_MICROS)).containsExactly("used closed");
        assertThat(table.nextExpiryMicros())
                .as("a connection that awaits an answer has no time limit")
                .isEqualTo(Long.MAX_VALUE);
        assertThat(Arrays.toString(table.counters().fields()))
                .contains("closed_silent, 1", "closed_half, 1", "closed_idle, 2", "closed_lingering, 4");
    }

    /** Guards against cutting off a slow client that still reads its answers when the linger time limit ends. */
    @Test
    void lingerTimeoutRestartsWhileClientReadsAnswers() {
        Connection slow = admit("slow", 1);
        Connection stalled = admit("stalled", 1);
        readingAnswers.add("slow");
        for (Connection connection : List.of(slow, stalled)) {
            table.read(connection, nowMicros, true, 1, 0);
            table.drain(connection, nowMicros);
            table.answered(connection, nowMicros, 0);
            assertThat(connection.state()).isEqualTo(State.LINGERING);
        }
        assertThat(expire(SECOND_MICROS)).containsExactly("stalled closed");
        assertThat(expire(SECOND_MICROS)).isEmpty();
        readingAnswers.clear();
        assertThat(expire(SECOND_MICROS)).containsExactly("slow closed");
    }

    /** A connection flood fills the table within the grace, and a later connection may carry a health check. */
    @Test
    void floodOfSilentConnectionsDoesNotBlockNewConnections() {
        table = table(3, 0, 0);
        Connection awaiting = admit("awaiting", 1);
        table.read(awaiting, nowMicros, true, 1, 0);
        Connection partial = admit("partial", 2);
        table.read(partial, nowMicros, false, 0, 5);
        admit("silent", 2);
        nowMicros += SECOND_MICROS / 100;
        assertThat(admit("health check", 3)).isNotNull();
        assertThat(events).containsExactly("silent closed");
        table.read(table.admit(new RecordingActions("health check 2"), 3, nowMicros), nowMicros, true, 1, 0);
        assertThat(events).containsExactly("silent closed", "health check closed");
        admit("health check 3", 3);
        assertThat(events).endsWith("partial closed");
        table.read(admit("health check 4", 3), nowMicros, true, 1, 0);
        assertThat(events).endsWith("health check 3 closed");
        assertThat(admit("rejected", 3))
                .as("every connection has an open request")
                .isNull();
    }

    /** Unread bytes may be a request, so the next connection is evicted, or none if all have unread bytes. */
    @Test
    void connectionWithUnreadBytesIsNotEvicted() {
        table = table(2, 0, 0);
        Connection unread = admitIdle("unread", 1);
        admitIdle("idle", 1);
        unread.setUnread(true);
        Connection newConnection = admit("new", 1);
        assertThat(events).containsExactly("idle closed");
        newConnection.setUnread(true);
        assertThat(admit("rejected", 2)).isNull();
        assertThat(events).containsExactly("idle closed");
    }

    /** All requests of a lingering connection are answered, so closing it to free its descriptor loses none. */
    @Test
    void lingeringConnectionIsEvictedFirst() {
        table = table(3, 0, 0);
        admit("silent", 1);
        nowMicros += SECOND_MICROS;
        admitIdle("idle", 1);
        Connection lingering = admitIdle("lingering", 1);
        table.drain(lingering, nowMicros);
        admit("new", 1);
        assertThat(events).containsExactly("lingering closed");
    }

    @Test
    void connectionThatWaitsForTheServerDoesNotExpire() {
        Connection partial = admit("partial", 1);
        table.read(partial, nowMicros, false, 0, 5);
        partial.setUnread(true);
        assertThat(expire(4 * SECOND_MICROS)).isEmpty();
        partial.setUnread(false);
        assertThat(expire(2 * SECOND_MICROS)).as("the time limit restarts").isEmpty();
        assertThat(expire(SECOND_MICROS)).containsExactly("partial drained");
        Connection draining = admit("draining", 1);
        table.read(draining, nowMicros, true, 1, 0);
        table.drain(draining, nowMicros);
        assertThat(expire(5 * SECOND_MICROS)).as("a request is still open").containsExactly("partial closed");
        assertThat(draining.state()).isEqualTo(State.DRAINING);
    }

    /** Guards against discarding the requests that a client writes after a pause in a line, while a request is open. */
    @Test
    void timeLimitOfAPartialMessageStartsAtTheLastAnswer() {
        Connection connection = admit("a", 1);
        table.read(connection, nowMicros, true, 1, 5);
        assertThat(expire(60 * SECOND_MICROS)).isEmpty();
        table.answered(connection, nowMicros, 0);
        assertThat(expire(3 * SECOND_MICROS - 1)).isEmpty();
        assertThat(expire(1)).containsExactly("a drained");
    }

    /** Guards against draining a connection with open requests in order to free the memory of its partial message. */
    @Test
    void memoryLimitPausesConnectionsWithOpenRequests() {
        table = table(100, 0, 0);
        List<Connection> connections = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            connections.add(admit("c" + i, i));
            table.read(connections.get(i), nowMicros, true, 1, 100);
        }
        assertThat(events).containsExactly("c10 paused");
        table.answered(connections.get(0), nowMicros, 0);
        table.read(connections.get(10), nowMicros, false, 1, 200);
        assertThat(events).containsExactly("c10 paused", "c0 drained", "c10 paused");
        table.read(connections.get(10), nowMicros, true, 2, 0);
        assertThat(events).hasSize(3);
        assertThat(table.partialBytes()).isEqualTo(900);
    }

    @Test
    void idleTimeoutCanBeSetAtRunTime() {
        admitIdle("a", 1);
        assertThat(expire(60 * SECOND_MICROS)).isEmpty();
        table.limitIdleTime(SECOND_MICROS);
        assertThat(table.nextExpiryMicros()).isLessThan(nowMicros);
        assertThat(expire(0)).containsExactly("a drained");
        assertThat(expire(SECOND_MICROS)).containsExactly("a closed");
        table.limitIdleTime(0);
        admitIdle("b", 1);
        assertThat(expire(60 * SECOND_MICROS)).isEmpty();
    }

    /** The time limits of 19,000 connections end at once; each call of expire handles at most 100 of them. */
    @Test
    void expireHandlesABoundedNumberOfConnectionsPerCall() {
        table = table(19_000, 0, SECOND_MICROS);
        for (int i = 0; i < 19_000; i++) {
            admitIdle("c", i % 50);
        }
        nowMicros += SECOND_MICROS;
        for (int iteration = 1; iteration <= 190; iteration++) {
            assertThat(table.nextExpiryMicros()).isLessThanOrEqualTo(nowMicros);
            assertThat(table.expire(nowMicros, 100)).isEqualTo(100);
            assertThat(table.count(State.IDLE)).isEqualTo(19_000 - 100 * iteration);
        }
        assertThat(events).hasSize(19_000).containsOnly("c drained");
        assertThat(table.nextExpiryMicros()).isEqualTo(nowMicros + SECOND_MICROS);
        nowMicros += SECOND_MICROS;
        for (int iteration = 1; iteration <= 190; iteration++) {
            assertThat(table.nextExpiryMicros()).isLessThanOrEqualTo(nowMicros);
            assertThat(table.expire(nowMicros, 100)).isEqualTo(100);
            assertThat(table.size()).isEqualTo(19_000 - 100 * iteration);
        }
        assertThat(table.nextExpiryMicros()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void evictsSilentThenPartialThenIdleOfTheLargestSource() {
        admitIdle("single", 1);
        admitIdle("first of many", 2);
        admitIdle("second of many", 2);
        Connection partial = admit("partial", 3);
        table.read(partial, nowMicros, false, 0, 5);
        nowMicros += SECOND_MICROS / 2;
        admit("new", 4);
        assertThat(events).containsExactly("partial closed");
        admit("newer", 5);
        assertThat(events).as("the connection 'new' is still within the grace").endsWith("first of many closed");
        nowMicros += SECOND_MICROS / 2;
        admit("newest", 6);
        assertThat(events).endsWith("new closed");
        assertThat(table.counters().evicted()).isEqualTo(3);
    }

    @Test
    void connectionWithOpenRequestIsNeverEvicted() {
        for (int i = 0; i < 4; i++) {
            Connection connection = admit("awaiting", 1);
            table.read(connection, nowMicros, true, 1, i % 2 * 5);
        }
        nowMicros += 2 * SECOND_MICROS;
        assertThat(admit("new", 2)).isNull();
        assertThat(events).isEmpty();
        assertThat(table.counters().rejected()).isOne();
    }

    @Test
    void sourceAtItsLimitEvictsItsLongestIdleConnection() {
        table = table(100, 2, 0);
        admitIdle("a1", 1);
        Connection awaiting = admit("a2", 1);
        table.read(awaiting, nowMicros, true, 1, 0);
        assertThat(admit("a3", 1)).isNotNull();
        assertThat(events).containsExactly("a1 closed");
        assertThat(admit("a4", 1))
                .as("the source has no idle connection to evict")
                .isNull();
        assertThat(admit("b1", 2)).isNotNull();
        assertThat(Arrays.toString(table.counters().fields())).contains("refused_source, 1");
    }

    @Test
    void drainsOldestPartialMessagesAboveTheMemoryLimit() {
        table = table(100, 0, 0);
        List<Connection> connections = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            connections.add(admit("c" + i, i));
            table.read(connections.get(i), nowMicros, false, 0, 100);
        }
        assertThat(events).isEmpty();
        Connection last = admit("last", 10);
        table.read(last, nowMicros, false, 0, 150);
        assertThat(events).containsExactly("c0 drained", "c1 drained");
        assertThat(table.partialBytes()).isEqualTo(950);
    }

    /** Each connection sends part of a message and never completes it, so every part stays buffered. */
    @Test
    void partialMessagesOf19000ConnectionsStayWithinTheMemoryLimit() {
        table = table(19_000, 0, 0);
        for (int i = 0; i < 19_000; i++) {
            Connection connection = admit("c", i % 100);
            table.read(connection, nowMicros, false, 0, 40);
            assertThat(table.partialBytes()).isLessThanOrEqualTo(1_000);
        }
        assertThat(events).hasSize(19_000 - 25).containsOnly("c drained");
        expire(SECOND_MICROS);
        assertThat(events)
                .as("lingering connections whose clients do not close are closed")
                .hasSize(100)
                .containsOnly("c closed");
    }

    @Test
    void limitsAcceptRateAfterBurst() {
        assertThat(table.pauseAfterAccept(nowMicros))
                .as("the burst allows two accepts")
                .isZero();
        assertThat(table.pauseAfterAccept(nowMicros)).isEqualTo(SECOND_MICROS / 100);
        assertThat(table.pauseAfterAccept(nowMicros)).isEqualTo(2 * SECOND_MICROS / 100);
        assertThat(table.pauseAfterAccept(nowMicros + 10 * SECOND_MICROS)).isZero();
    }

    @Test
    void clockSetBackDoesNotReorderTimeLimits() {
        table = table(100, 0, SECOND_MICROS);
        admitIdle("a", 1);
        nowMicros -= 30 * SECOND_MICROS;
        admitIdle("b", 1);
        nowMicros += 31 * SECOND_MICROS;
        assertThat(expire(0)).containsExactly("a drained", "b drained");
        assertThat(expire(SECOND_MICROS)).containsExactly("a closed", "b closed");
    }
}
