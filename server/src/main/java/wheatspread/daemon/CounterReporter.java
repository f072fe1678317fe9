package wheatspread.daemon;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Map;
import java.util.function.BooleanSupplier;
import wheatspread.connections.Connection.State;
import wheatspread.connections.ConnectionTable;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.logging.EventLog;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Listener;

/** The counters in the log: every few seconds where the operator asks for it, and at the end. */
final class CounterReporter {
    private final Core core;
    private final Map<Listener, InetSocketAddress> fronts;
    private final EventLoopScheduler turns;
    private final Clock clock;
    private final int seconds;
    private final BooleanSupplier goesOn;
    private final EventLog log;

    /** Every so many {@code seconds}, 0 for never, as long as {@code goesOn}. */
    CounterReporter(
            Core core,
            Map<Listener, InetSocketAddress> fronts,
            EventLoopScheduler turns,
            Clock clock,
            int seconds,
            BooleanSupplier goesOn,
            EventLog log) {
        this.core = core;
        this.fronts = fronts;
        this.turns = turns;
        this.clock = clock;
        this.seconds = seconds;
        this.goesOn = goesOn;
        this.log = log;
    }

    void begin() {
        if (seconds > 0) {
            clock.after(seconds * 1_000_000L, this::tellAgain);
        }
    }

    private void tellAgain() {
        if (goesOn.getAsBoolean()) {
            tell();
            begin();
        }
    }

    /** What came of the limits so far. */
    void tell() {
        log.info("counts", core.counts().fields());
        fronts.forEach((front, address) -> {
            ConnectionTable table = front.table();
            log.info(
                    "connections",
                    all(
                            new Object[] {"front", address, "now", table.size(), "resting", table.sizeOf(State.RESTING)
                            },
                            table.counters().fields()));
        });
        log.info("turns", all(turns.times().fields(), turns.gate().fields(), new Object[] {
            "exhausted",
            turns.order().exhausted(),
            "sleepers",
            turns.order().sleepers(),
            "timers",
            turns.wheel().size()
        }));
    }

    private static Object[] all(Object[]... fields) {
        return Arrays.stream(fields).flatMap(Arrays::stream).toArray();
    }
}
