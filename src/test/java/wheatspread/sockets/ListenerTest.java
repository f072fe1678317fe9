package wheatspread.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wheatspread.core.Clock;

class ListenerTest {
    private static final long MEGABYTE = 1024 * 1024;

    private final List<String> heard = new ArrayList<>();
    private Listener listener;

    @BeforeEach
    void open() {
        listener = new Listener(null, new StillClock(), 10, channel -> { });
        listener.opened(new Silent("a", 3 * MEGABYTE));
        listener.opened(new Silent("b", 9 * MEGABYTE));
        listener.opened(new Silent("c", 0));
    }

    @Test
    void theCallerFurthestBehindIsClosedWhereTooMuchWaits() {
        listener.sweep();
        assertThat(heard).isEmpty();
        listener.opened(new Silent("d", 5 * MEGABYTE));
        listener.sweep();
        listener.sweep();
        assertThat(heard).containsExactly("b closed");
    }

    @Test
    void idleConnectionsAreClosedOnlyWhenAsked() {
        listener.closeIdle(1_000);
        listener.sweep();
        assertThat(heard).containsExactly("a idle since 4000", "b idle since 4000", "c idle since 4000");
        listener.closeIdle(0);
        listener.sweep();
        assertThat(heard).hasSize(3);
    }

    @Test
    void whoComesWhileTheServerLeavesHearsOfItToo() {
        listener.lastCall();
        listener.closed(new Silent("a", 0));
        listener.opened(new Silent("e", 0));
        assertThat(heard).containsExactly("a last call", "b last call", "c last call", "e last call");
    }

    private static final class StillClock implements Clock {
        @Override
        public long now() {
            return 5_000;
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

        Silent(String name, long waiting) {
            this.name = name;
            this.waiting = waiting;
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
