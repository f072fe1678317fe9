package wheatspread.daemon;

import java.net.InetSocketAddress;
import wheatspread.core.Clock;
import wheatspread.lifecycle.Lifecycle;
import wheatspread.lifecycle.Lifecycle.Phase;
import wheatspread.logging.EventLog;

/** Tells that the kernel is late, again and again, and gives up where the operator says so. */
final class KernelReadiness {
    /** How long a kernel may stay away before that is logged, first; us. */
    private static final long LATE = 10_000_000;

    private final Clock clock;
    private final long most;
    private final InetSocketAddress address;
    private final Lifecycle life;
    private final Runnable giveUp;
    private final EventLog log;
    private final long began;

    /** Gives up after {@code most} microseconds; 0 for never. */
    KernelReadiness(Clock clock, long most, InetSocketAddress address, Lifecycle life, Runnable giveUp, EventLog log) {
        this.clock = clock;
        this.most = most;
        this.address = address;
        this.life = life;
        this.giveUp = giveUp;
        this.log = log;
        began = clock.nowMicros();
    }

    void begin() {
        long left = most > 0 ? began + most - clock.nowMicros() : LATE;
        clock.after(Math.min(left, LATE), this::look);
    }

    private void look() {
        if (life.phase() != Phase.WAITING) {
            return;
        }
        long waited = clock.nowMicros() - began;
        log.warn("kernel_late", "waited_ms", waited / 1000, "address", address);
        if (most > 0 && waited >= most) {
            giveUp.run();
        } else {
            begin();
        }
    }
}
