package wheatspread.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import wheatspread.connections.Connection;
import wheatspread.logging.EventLog;
import wheatspread.scheduling.IterationBudget;
import wheatspread.scheduling.PendingRead;
import wheatspread.scheduling.ReadScheduler;
import wheatspread.scheduling.ReconnectBurstLimiter;
import wheatspread.timers.TimerWheel;

/**
 * Orders the work of each event-loop iteration. First comes what the selector reports for the kernel, the
 * records service and the listeners, and writes to callers; then expired timers, with the decisions and
 * answers that follow from all this; then new requests, as {@link ReadScheduler} orders them and within its
 * budget, with what follows from them; last the connections past a time limit. What an iteration leaves
 * unread stays in the sockets. All methods run on the event loop.
 */
public final class EventLoopScheduler implements IoHandlerFactory {
    /** How many channels that have to wait are taken from the selector's watch in one iteration. */
    private static final int MAX_PAUSED_PER_ITERATION = 1_024;
    /** Tasks, and tasks added by tasks, in one phase of an iteration; the next phase runs the rest. */
    private static final int MAX_TASKS_PER_PHASE = 256;

    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Transport transport;
    private final IterationBudget budget;
    private final EventLog log;
    private final ReadScheduler readScheduler;
    private final TimerWheel timerWheel = new TimerWheel(monotonicMicros());
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final Deque<Runnable> endTasks = new ArrayDeque<>();
    /** Channels that wait to be read while the selector may still watch them for input. */
    private final List<ClientChannel> unpaused = new ArrayList<>();

    private final IterationTimes times = new IterationTimes();
    private final ReconnectBurstLimiter burstLimiter;
    /** Unix time, by which connections record their last use. */
    private LongSupplier connectionClock = () -> System.currentTimeMillis() * MICROS_PER_MILLI;
    /** The connection whose channel is being registered; null for any other channel. */
    private Connection registering;
    /** Whether the connection being read was idle. */
    private boolean readingIdle;

    /** The seed spreads the retries of requests that the burst limiter rejects. */
    public EventLoopScheduler(Transport transport, IterationBudget budget, long seed, EventLog log) {
        this.transport = transport;
        this.budget = budget;
        this.log = log;
        readScheduler = new ReadScheduler(budget);
        burstLimiter = new ReconnectBurstLimiter(budget.burstThreshold(), seed);
    }

    /** Sets the clock by which connections record their last use, in microseconds. */
    public void setConnectionClock(LongSupplier clock) {
        connectionClock = clock;
    }

    public Transport transport() {
        return transport;
    }

    public IterationBudget budget() {
        return budget;
    }

    public ReadScheduler readScheduler() {
        return readScheduler;
    }

    public IterationTimes times() {
        return times;
    }

    /** The timers of the loop, whose clock is {@link #monotonicMicros}. */
    public TimerWheel timerWheel() {
        return timerWheel;
    }

    /** The monotonic time of the timers, in microseconds. */
    public static long monotonicMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /** Runs a task after what is being read, in the same iteration. */
    public void runInIteration(Runnable task) {
        tasks.add(task);
    }

    /** Runs a task once at the end of an iteration, after everything that callers wait for. */
    void runAtEnd(Runnable task) {
        endTasks.add(task);
    }

    /** Registers the channel of a caller's connection, so that its reads are scheduled. */
    void register(Connection connection, Runnable registration) {
        registering = connection;
        try {
            registration.run();
        } finally {
            registering = null;
        }
    }

    Connection registering() {
        return registering;
    }

    /** Sets whether the connection being read was idle. */
    void setReadingIdle(boolean idle) {
        readingIdle = idle;
    }

    boolean isReadingIdle() {
        return readingIdle;
    }

    /**
     * Whether a request that was just read may go on. The burst limiter decides on those of idle connections;
     * what it admits has to be given back to it.
     */
    boolean tryAdmit() {
        return !readingIdle || burstLimiter.tryAdmit(readScheduler.idleWaiting());
    }

    public ReconnectBurstLimiter burstLimiter() {
        return burstLimiter;
    }

    void ready(ClientChannel channel) {
        readScheduler.add(channel, connectionClock.getAsLong());
        unpaused.add(channel);
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new IterationHandler(transport.ioHandlers().newHandler(executor));
    }

    private boolean hasNoWork() {
        return tasks.isEmpty() && endTasks.isEmpty() && readScheduler.isEmpty() && !timerWheel.hasExpiredTimers();
    }

    private void runTasks() {
        for (int i = 0; i < MAX_TASKS_PER_PHASE && !tasks.isEmpty(); i++) {
            runSafely(tasks.poll());
        }
    }

    private void runEndTasks() {
        for (int remaining = endTasks.size(); remaining > 0; remaining--) {
            runSafely(endTasks.poll());
        }
    }

    /** Runs a task and logs what it throws, since a fault in one task must not end the loop. */
    public void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error("loop_task_failed", "error", e);
        }
    }

    private void readCallers() {
        readScheduler.beginIteration(monotonicMicros());
        for (PendingRead ready = readScheduler.take(monotonicMicros());
                ready != null;
                ready = readScheduler.take(monotonicMicros())) {
            ClientChannel channel = (ClientChannel) ready;
            runSafely(channel::read);
        }
        readingIdle = false;
        pauseWaitingReads();
    }

    private void pauseWaitingReads() {
        int kept = 0;
        int paused = 0;
        for (ClientChannel channel : unpaused) {
            if (channel.isQueued() && paused++ < MAX_PAUSED_PER_ITERATION) {
                channel.pauseReads();
            } else if (channel.isQueued()) {
                unpaused.set(kept++, channel);
            }
        }
        unpaused.subList(kept, unpaused.size()).clear();
    }

    /** The transport's own handler, followed by the phases of an iteration. */
    private final class IterationHandler implements IoHandler {
        private final IoHandler selector;
        private final WaitContext waitContext = new WaitContext();
        private long lastIterationEndNanos;

        IterationHandler(IoHandler selector) {
            this.selector = selector;
        }

        @Override
        public int run(IoHandlerContext context) {
            // between two iterations the loop runs its own tasks
            long loopTasksNanos = lastIterationEndNanos == 0 ? 0 : System.nanoTime() - lastIterationEndNanos;
            waitContext.begin(context);
            int handled = selector.run(waitContext);
            long startNanos = System.nanoTime();
            timerWheel.expire(startNanos / NANOS_PER_MICRO, budget.maxExpirations());
            runTasks();
            if (!readScheduler.isEmpty()) {
                readCallers();
                runTasks();
            }
            runEndTasks();
            lastIterationEndNanos = System.nanoTime();
            times.add(loopTasksNanos + waitContext.activeNanos() + lastIterationEndNanos - startNanos);
            return handled;
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            if (registering == null) {
                return selector.register(handle);
            }
            ClientChannel caller = transport.deferReads(handle, EventLoopScheduler.this);
            return caller.registered(selector.register((IoHandle) caller));
        }

        @Override
        public void initialize() {
            selector.initialize();
        }

        @Override
        public void prepareToDestroy() {
            selector.prepareToDestroy();
        }

        @Override
        public void destroy() {
            selector.destroy();
        }

        @Override
        public void wakeup() {
            selector.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return selector.isCompatible(type);
        }
    }

    /** How long the selector may wait: until the next task of the loop or the next timer of the wheel. */
    private final class WaitContext implements IoHandlerContext {
        private IoHandlerContext context;
        private long activeNanos;

        void begin(IoHandlerContext ofLoop) {
            context = ofLoop;
            activeNanos = 0;
        }

        long activeNanos() {
            return activeNanos;
        }

        @Override
        public boolean canBlock() {
            return context.canBlock() && hasNoWork();
        }

        @Override
        public long delayNanos(long nanoTime) {
            long timerMicros = timerWheel.nextAdvanceMicros();
            long delayNanos = context.delayNanos(nanoTime);
            if (timerMicros != Long.MAX_VALUE) {
                delayNanos = Math.min(delayNanos, Math.max(0, timerMicros * NANOS_PER_MICRO - nanoTime));
            }
            // a selector that waits in milliseconds would spin through the last one before every timer
            return delayNanos > 0 ? Math.max(delayNanos, transport.minWaitNanos()) : delayNanos;
        }

        @Override
        public long deadlineNanos() {
            long timerMicros = timerWheel.nextAdvanceMicros();
            long deadlineNanos = context.deadlineNanos();
            if (timerMicros == Long.MAX_VALUE) {
                return deadlineNanos;
            }
            long timerNanos = Math.max(
                    0, timerMicros * NANOS_PER_MICRO - Ticker.systemTicker().initialNanoTime());
            return deadlineNanos == -1 ? timerNanos : Math.min(deadlineNanos, timerNanos);
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            activeNanos += nanos;
            context.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }
    }
}
