package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.LoadGauges;
import wheatspread.logging.EventLog;

/**
 * Hands events to the admission controller as the simulator does: all events of one event-loop turn in one batch,
 * preceded by the gauges where one of the controller's timers has expired, and followed by one decision. It owns
 * the controller, and the clock of its batches, which never goes back. Owned by the core's thread.
 */
final class EventBatcher {
    /** The gauges are asked for this long before the controller's timer expires. */
    private static final long GAUGE_REQUEST_LEAD_MICROS = 10_000;
    /** Gauges older than this count as missing. */
    private static final long MAX_GAUGE_AGE_MICROS = 300_000;
    /** The controller's timer expires this long after the controller threw an exception. */
    private static final long WAKEUP_AFTER_FAULT_MICROS = 50_000;

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
     * Starts handing events to a controller. It takes its first batch for the kernel's start at
     * {@code kernelStartMicros} in Unix microseconds, from which a cold one warms up.
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

    /** The time of the batch under way, in Unix microseconds. */
    long nowMicros() {
        return batchMicros;
    }

    /** Takes gauges that the kernel reported now. */
    void setGauges(LoadGauges reading) {
        gauges = reading;
        gaugesReadAtMicros = clock.nowMicros();
    }

    /** Adds an event to the next batch; events before {@link #start} are dropped. */
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

    /** Hands over all events and has the controller decide; what its actions bring about is a later batch. */
    private void flush() {
        flushScheduled = false;
        List<Consumer<AdmissionController>> batch = events;
        events = new ArrayList<>();
        batchMicros = Math.max(batchMicros, clock.nowMicros());
        controller.beginBatch(batchMicros);
        if (removeExpiredWakeups()) {
            // before all else, so that the controller's tick never runs without its gauges
            controller.onTimer(gaugesAreFresh() ? gauges : NO_GAUGES);
        }
        try {
            batch.forEach(event -> event.accept(controller));
            controller.decide(actions);
        } catch (RuntimeException e) {
            // a fault in one decision must not end the ticks, or every later request would be lost with it
            log.error("decision_failed", "error", e);
            scheduleWakeup(WAKEUP_AFTER_FAULT_MICROS);
        }
    }

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

    /** Sets a timer of the controller, and asks for gauges just before it expires. */
    void scheduleWakeup(long delayMicros) {
        long wakeupMicros = batchMicros + delayMicros;
        wakeupTimesMicros.add(wakeupMicros);
        flushAt(wakeupMicros);
        if (delayMicros > 2 * GAUGE_REQUEST_LEAD_MICROS) {
            clock.schedule(delayMicros - GAUGE_REQUEST_LEAD_MICROS, kernel::requestGauges);
        }
    }

    /** Timers may run a little early by the Unix clock; a flush before the time would find no expired wakeup. */
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
