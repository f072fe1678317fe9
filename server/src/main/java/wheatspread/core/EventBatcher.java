package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.LoadGauges;
import wheatspread.logging.EventLog;

/**
 * Passes events to the admission controller as the simulator does: all events of one event-loop iteration form one
 * batch, which starts with the gauges if one of the controller's timers has expired and ends with one decision. The
 * batcher owns the controller and the batch time, which never decreases. Owned by the core's thread.
 */
final class EventBatcher {
    /** The gauges are requested this long before the controller's timer expires. */
    private static final long GAUGE_REQUEST_LEAD_MICROS = 10_000;
    /** Gauges older than this count as missing. */
    private static final long MAX_GAUGE_AGE_MICROS = 300_000;
    /** Delay of the timer that is set for the controller after it threw an exception. */
    private static final long WAKEUP_AFTER_EXCEPTION_MICROS = 50_000;

    private static final LoadGauges NO_GAUGES = new LoadGauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private final Clock clock;
    private final Kernel kernel;
    private final EventLog log;
    private final PriorityQueue<Long> wakeupTimesMicros = new PriorityQueue<>();

    private AdmissionController controller;
    private AdmissionController.Actions actions;
    private List<Consumer<AdmissionController>> events = new ArrayList<>();
    private boolean flushScheduled;
    private long batchMicros;
    private LoadGauges gauges = NO_GAUGES;
    private long gaugesReadAtMicros;

    EventBatcher(Clock clock, Kernel kernel, EventLog log) {
        this.clock = clock;
        this.kernel = kernel;
        this.log = log;
    }

    /**
     * Starts passing events to a controller. The time of its first batch is the start of the kernel,
     * {@code kernelStartMicros} in Unix microseconds, because the warm-up of a cold kernel starts then.
     */
    void start(AdmissionController newController, AdmissionController.Actions executor, long kernelStartMicros) {
        controller = newController;
        actions = executor;
        batchMicros = kernelStartMicros;
        controller.beginBatch(batchMicros);
        scheduleFlush();
    }

    boolean started() {
        return controller != null;
    }

    /** Returns the time of the current or last batch, in Unix microseconds. */
    long nowMicros() {
        return batchMicros;
    }

    /** Stores gauges that the kernel has just reported. */
    void setGauges(LoadGauges reading) {
        gauges = reading;
        gaugesReadAtMicros = clock.nowMicros();
    }

    /** Adds an event to the next batch. Events added before {@link #start} are dropped. */
    void add(Consumer<AdmissionController> event) {
        if (controller != null) {
            events.add(event);
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            clock.runAfterTurn(this::flush);
        }
    }

    /** Passes all events to the controller and lets it decide; events caused by its decisions join a later batch. */
    private void flush() {
        flushScheduled = false;
        List<Consumer<AdmissionController>> batch = events;
        events = new ArrayList<>();
        batchMicros = Math.max(batchMicros, clock.nowMicros());
        controller.beginBatch(batchMicros);
        if (removeExpiredWakeups()) {
            // the gauges precede all other events, so that the controller's tick always has them
            controller.onTimer(gaugesAreFresh() ? gauges : NO_GAUGES);
        }
        try {
            batch.forEach(event -> event.accept(controller));
            controller.decide(actions);
        } catch (RuntimeException e) {
            // without a further wakeup the ticks would end, and every later request would be lost
            log.error("decision_failed", "error", e);
            scheduleWakeup(WAKEUP_AFTER_EXCEPTION_MICROS);
        }
    }

    /** Removes the wakeup times that have passed; returns whether there were any. */
    private boolean removeExpiredWakeups() {
        boolean expired = false;
        while (!wakeupTimesMicros.isEmpty() && wakeupTimesMicros.peek() <= batchMicros) {
            wakeupTimesMicros.poll();
            expired = true;
        }
        return expired;
    }

    private boolean gaugesAreFresh() {
        return batchMicros - gaugesReadAtMicros <= MAX_GAUGE_AGE_MICROS;
    }

    /** Sets a timer of the controller, and requests the gauges shortly before it expires. */
    void scheduleWakeup(long delayMicros) {
        long wakeupMicros = batchMicros + delayMicros;
        wakeupTimesMicros.add(wakeupMicros);
        flushAt(wakeupMicros);
        if (delayMicros > 2 * GAUGE_REQUEST_LEAD_MICROS) {
            clock.schedule(delayMicros - GAUGE_REQUEST_LEAD_MICROS, kernel::requestGauges);
        }
    }

    /**
     * Schedules a flush at a Unix time in microseconds. A timer may fire slightly early by the Unix clock and is then
     * set again, since a flush before the wakeup time would find no expired wakeup.
     */
    private void flushAt(long wakeupMicros) {
        long remainingMicros = wakeupMicros - clock.nowMicros();
        clock.schedule(Math.max(0, remainingMicros), () -> {
            if (clock.nowMicros() < wakeupMicros) {
                flushAt(wakeupMicros);
            } else {
                scheduleFlush();
            }
        });
    }
}
