package wheatspread.daemon;

import java.net.InetSocketAddress;
import wheatspread.core.Clock;
import wheatspread.life.Life;
import wheatspread.life.Life.Phase;
import wheatspread.logging.EventLog;

/** Tells that the kernel is late, again and again, and gives up where the operator says so. */
final class KernelWait {
    /** How long a kernel may stay away before that is logged, first; us. */
    private static final long LATE = 10_000_000;

    private final Clock clock;
    private final long most;
    private final InetSocketAddress address;
    private final Life life;
    private final Runnable giveUp;
    private final EventLog log;
    private final long began;

    /** Gives up after {@code most} microseconds; 0 for never. */
    KernelWait(Clock clock, long most, InetSocketAddress address, Life life, Runnable giveUp, EventLog log) {
        this.clock = clock;
        this.most = most;
        this.address = address;
        this.life = life;
        this.giveUp = giveUp;
        this.log = log;
        began = clock.now();
    }

    void begin() {
        long left = most > 0 ? began + most - clock.now() : LATE;
        clock.after(Math.min(left, LATE), this::look);
    }

    private void look() {
        if (life.phase() != Phase.WAITING) {
            return;
        }
        long waited = clock.now() - began;
        log.warn("kernel_late", "waited_ms", waited / 1000, "address", address);
        if (most > 0 && waited >= most) {
            giveUp.run();
        } else {
            begin();
        }
    }
}
