package wheatspread.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wheatspread.core.Clock;

class ListenerTest {
    private static final long NOW = 100_000_000;
    private static final long MEGABYTE = 1024 * 1024;

    private final List<String> heard = new ArrayList<>();
    private Listener listener;

    @BeforeEach
    void open() {
        listener = new Listener(null, new StillClock(), 3, channel -> { });
        listener.opened(new Silent("a", 3 * MEGABYTE, NOW, true));
        listener.opened(new Silent("b", 9 * MEGABYTE, NOW - 10, true));
        listener.opened(new Silent("c", 0, Long.MAX_VALUE, true));
    }

    @Test
    void theCallerFurthestBehindIsClosedWhereTooMuchWaits() {
        listener.sweep();
        assertThat(heard).isEmpty();
        listener.opened(new Silent("d", 5 * MEGABYTE, NOW, true));
        listener.sweep();
        listener.sweep();
        assertThat(heard).containsExactly("b closed");
    }

    @Test
    void idleConnectionsAreClosedOnlyWhenAsked() {
        listener.closeIdle(NOW - 1_000);
        listener.sweep();
        assertThat(heard).containsExactly("a idle since 1000", "b idle since 1000", "c idle since 1000");
        listener.closeIdle(0);
        listener.sweep();
        assertThat(heard).hasSize(3);
    }

    @Test
    void whoComesWhileTheServerLeavesHearsOfItToo() {
        listener.lastCall();
        listener.opened(new Silent("e", 0, NOW, true));
        assertThat(heard).containsExactly("a last call", "b last call", "c last call", "e last call");
    }

    /** Guards against callers that hold connections for good, and so shut out those that ask. */
    @Test
    void pastTheBoundTheLeastUsefulMakesRoom() {
        assertThat(listener.makeRoom()).isTrue();
        listener.opened(new Silent("new", 0, NOW, false));
        assertThat(listener.makeRoom()).isTrue();
        assertThat(heard).as("who rested longest, and not who had no time to ask yet")
            .containsExactly("b closed", "a closed");
        listener.opened(new Silent("mute", 0, NOW - 300_000, false));
        listener.opened(new Silent("old", 0, NOW - 900_000, true));
        assertThat(listener.makeRoom()).isTrue();
        assertThat(heard).as("who had the time to ask and did not").endsWith("mute closed");
    }

    @Test
    void whereAllHaveOpenRequestsTheNewcomerGoes() {
        listener = new Listener(null, new StillClock(), 1, channel -> { });
        listener.opened(new Silent("c", 0, Long.MAX_VALUE, true));
        assertThat(listener.makeRoom()).isFalse();
        assertThat(heard).isEmpty();
    }

    @Test
    void whoNeverAsksIsClosedInTime() {
        listener.opened(new Silent("mute", 0, NOW - 2_000_001, false));
        listener.sweep();
        assertThat(heard).containsExactly("mute idle since " + (NOW - 2_000_000));
    }

    private static final class StillClock implements Clock {
        @Override
        public long now() {
            return NOW;
        }

        @Override
        public Timer after(long micros, Runnable task) {
            return () -> { };
        }

        @Override
        public void soon(Runnable task) {
            task.run();
        }
    }

    private final class Silent implements Caller {
        private final String name;
        private final long waiting;

        private final long idleSince;
        private final boolean asked;

        Silent(String name, long waiting, long idleSince, boolean asked) {
            this.name = name;
            this.waiting = waiting;
            this.idleSince = idleSince;
            this.asked = asked;
        }

        @Override
        public long idleSince() {
            return idleSince;
        }

        @Override
        public boolean asked() {
            return asked;
        }

        @Override
        public void closeIfMidwaySince(long time) {
            assertThat(time).isEqualTo(NOW - 2_000_000);
        }

        @Override
        public void lastCall() {
            heard.add(name + " last call");
        }

        @Override
        public void closeIfIdleSince(long time) {
            heard.add(name + " idle since " + time);
        }

        @Override
        public long waitingBytes() {
            return waiting;
        }

        @Override
        public void close() {
            heard.add(name + " closed");
        }
    }
}
