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

/**
 * Logs the counters of requests, connections and the event loop, periodically if the operator sets an interval, and
 * once when the process closes. All calls are made on the event loop's thread.
 */
final class CounterReporter {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Core core;
    private final Map<Listener, InetSocketAddress> listeners;
    private final EventLoopScheduler scheduler;
    private final Clock clock;
    private final int intervalSeconds;
    private final BooleanSupplier isActive;
    private final EventLog log;

    /** Creates a reporter that logs every {@code intervalSeconds} (0 for never) while {@code isActive} returns true. */
    CounterReporter(
            Core core,
            Map<Listener, InetSocketAddress> listeners,
            EventLoopScheduler scheduler,
            Clock clock,
            int intervalSeconds,
            BooleanSupplier isActive,
            EventLog log) {
        this.core = core;
        this.listeners = listeners;
        this.scheduler = scheduler;
        this.clock = clock;
        this.intervalSeconds = intervalSeconds;
        this.isActive = isActive;
        this.log = log;
    }

    /** Schedules the periodic log of the counters; does nothing if the interval is 0. */
    void scheduleNext() {
        if (intervalSeconds > 0) {
            clock.schedule(intervalSeconds * MICROS_PER_SECOND, this::logAndScheduleNext);
        }
    }

    private void logAndScheduleNext() {
        if (isActive.getAsBoolean()) {
            logCounters();
            scheduleNext();
        }
    }

    /** Logs the counters since the start of the process. */
    void logCounters() {
        log.info("request_counters", core.counters().logFields());
        listeners.forEach((listener, address) -> {
            ConnectionTable table = listener.table();
            log.info(
                    "connections",
                    concatenate(
                            new Object[] {"front", address, "now", table.size(), "resting", table.count(State.IDLE)},
                            table.counters().fields()));
        });
        log.info(
                "event_loop",
                concatenate(
                        scheduler.times().takeLogFields(),
                        scheduler.burstLimiter().fields(),
                        new Object[] {
                            "exhausted",
                            scheduler.readScheduler().exhaustedIterations(),
                            "exhausted_reads",
                            scheduler.readScheduler().readBudget().exhaustedReads(),
                            "sleepers",
                            scheduler.readScheduler().idleConnectionsQueued(),
                            "timers",
                            scheduler.timerWheel().size()
                        }));
    }

    private static Object[] concatenate(Object[]... fields) {
        return Arrays.stream(fields).flatMap(Arrays::stream).toArray();
    }
}
