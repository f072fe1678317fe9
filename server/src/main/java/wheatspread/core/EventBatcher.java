package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.LoadGauges;
import wheatspread.logging.EventLog;

/**
 * Hands events to the module as the simulator does: all of one turn of the loop together, with the gauges
 * where one of its timers rang, and one decision behind them.
 */
final class EventBatcher {
    /** The gauges are asked for this long before the module looks at them; us. */
    private static final long GAUGES_AHEAD = 10_000;
    /** A reading older than this counts as missing; us. */
    private static final long GAUGES_STALE = 300_000;
    /** The module is woken this long after it failed; us. */
    private static final long AFTER_FAULT = 50_000;

    private static final LoadGauges NO_GAUGES = new LoadGauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private final Clock clock;
    private final Runnable askGauges;
    private final EventLog log;
    private AdmissionController module;
    private AdmissionController.Actions actions;
    private List<Consumer<AdmissionController>> events = new ArrayList<>();
    private boolean flushing;
    private long now;
    private final PriorityQueue<Long> wakes = new PriorityQueue<>();
    private LoadGauges reading = NO_GAUGES;
    private long readAt;

    EventBatcher(Clock clock, Runnable askGauges, EventLog log) {
        this.clock = clock;
        this.askGauges = askGauges;
        this.log = log;
    }

    /** The module takes its first batch for the start of the kernel, and a cold one warms since then. */
    void begin(AdmissionController started, AdmissionController.Actions carrier, long startedAt) {
        module = started;
        actions = carrier;
        now = startedAt;
        module.beginBatch(now);
        flushSoon();
    }

    boolean begun() {
        return module != null;
    }

    /** The clock of the batch under way, in Unix microseconds. */
    long now() {
        return now;
    }

    void read(LoadGauges gauges) {
        reading = gauges;
        readAt = clock.nowMicros();
    }

    void event(Consumer<AdmissionController> event) {
        if (module != null) {
            events.add(event);
            flushSoon();
        }
    }

    private void flushSoon() {
        if (!flushing) {
            flushing = true;
            clock.soon(this::flush);
        }
    }

    /** Hands over all that has come in and has the module decide; what that brings about is a later batch. */
    private void flush() {
        flushing = false;
        List<Consumer<AdmissionController>> batch = events;
        events = new ArrayList<>();
        now = Math.max(now, clock.nowMicros());
        module.beginBatch(now);
        boolean bell = false;
        while (!wakes.isEmpty() && wakes.peek() <= now) {
            wakes.poll();
            bell = true;
        }
        if (bell) {
            // before all else, so that the module's tick never runs without its gauges
            module.onTimer(now - readAt <= GAUGES_STALE ? reading : NO_GAUGES);
        }
        try {
            batch.forEach(event -> event.accept(module));
            module.decide(actions);
        } catch (RuntimeException e) {
            // a fault in one decision must not end the ticks, or every later request would be lost with it
            log.error("module_failed", "error", e);
            wake(AFTER_FAULT);
        }
    }

    /** Rings the module's timer after so many microseconds, with gauges read just before. */
    void wake(long after) {
        wakes.add(now + after);
        ringAt(now + after);
        if (after > 2 * GAUGES_AHEAD) {
            clock.after(after - GAUGES_AHEAD, askGauges);
        }
    }

    /** Timers may fire a little early by the Unix clock; a bell rung early would be the module's last. */
    private void ringAt(long at) {
        long left = at - clock.nowMicros();
        clock.after(Math.max(0, left), () -> {
            if (clock.nowMicros() < at) {
                ringAt(at);
            } else {
                flushSoon();
            }
        });
    }
}
