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
 * Orders the work of each event-loop iteration into phases:
 *
 * <ol>
 *   <li>I/O events of the kernel, the records service and the listeners, and writes to clients;
 *   <li>expired timers, and then the tasks that follow from both, such as decisions and answers;
 *   <li>reads of new requests, in the order and within the budget of {@link ReadScheduler}, and the tasks that
 *       follow from them;
 *   <li>tasks for the end of the iteration, such as closing connections past a time limit.
 * </ol>
 *
 * <p>Input that an iteration does not read stays in the sockets. All methods run on the event loop.
 */
public final class EventLoopScheduler implements IoHandlerFactory {
    /** Bounds per iteration the number of channels for which the selector stops watching for input. */
    private static final int MAX_CHANNELS_PAUSED_PER_ITERATION = 1_024;
    /** Bounds the tasks run in one phase, including tasks added by tasks; the next phase runs the rest. */
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
    /** The queued channels that the selector may still watch for input. */
    private final List<ClientChannel> unpausedChannels = new ArrayList<>();

    /** The reads that go on in the next iteration. */
    private final List<ScheduledRead> continuedReads = new ArrayList<>();

    private final IterationTimes iterationTimes = new IterationTimes();
    private final ReconnectBurstLimiter burstLimiter;
    /** The clock by which connections record their last use; by default Unix time. Microseconds. */
    private LongSupplier connectionClock = () -> System.currentTimeMillis() * MICROS_PER_MILLI;
    /** The connection whose channel is being registered; null while no channel of a client is being registered. */
    private Connection connectionBeingRegistered;
    /** Whether the connection being read counted as idle when it was queued. */
    private boolean readingIdle;

    /** The seed determines the random retry-after times of requests that the burst limiter rejects. */
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
        return iterationTimes;
    }

    /** Returns the timers of the loop, which run by {@link #monotonicMicros}. */
    public TimerWheel timerWheel() {
        return timerWheel;
    }

    /** Returns the monotonic time in microseconds, with an arbitrary origin; not Unix time. */
    public static long monotonicMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /**
     * Queues a task to run after the current read or event, in the same iteration unless
     * {@value #MAX_TASKS_PER_PHASE} tasks per phase run before it.
     */
    public void runInIteration(Runnable task) {
        tasks.add(task);
    }

    /** Queues a task to run at the end of the iteration, after the work that clients wait for. */
    void runAtEnd(Runnable task) {
        endTasks.add(task);
    }

    /**
     * Queues a task to run at the end of an iteration whose poll of the sockets begins after this call. A poll that has
     * begun may have reported nothing although input waits: a signal that stops and continues the process ends it.
     */
    public void runAfterNextPoll(Runnable task) {
        endTasks.add(() -> endTasks.add(task));
    }

    /** Runs the registration of a client's channel in such a way that the read scheduler defers the channel's reads. */
    void register(Connection connection, Runnable registration) {
        connectionBeingRegistered = connection;
        try {
            registration.run();
        } finally {
            connectionBeingRegistered = null;
        }
    }

    Connection connectionBeingRegistered() {
        return connectionBeingRegistered;
    }

    /** Sets whether the connection being read counted as idle when it was queued. */
    void setReadingIdle(boolean idle) {
        readingIdle = idle;
    }

    boolean isReadingIdle() {
        return readingIdle;
    }

    /**
     * Returns whether a request that was just read may be submitted. The burst limiter decides about requests of
     * idle connections; each request that it admits must be reported to {@link ReconnectBurstLimiter#completed}.
     */
    boolean tryAdmit() {
        return !readingIdle || burstLimiter.tryAdmit(readScheduler.idleConnectionsWaiting());
    }

    public ReconnectBurstLimiter burstLimiter() {
        return burstLimiter;
    }

    /**
     * Queues a read for the next iteration, after a read of its connection has exhausted its budget. A read must be
     * added at most once until it is performed.
     */
    void continueRead(BufferedRead read) {
        continuedReads.add(read);
    }

    /** Returns whether input of clients waits to be read. */
    public boolean hasWaitingReads() {
        return !readScheduler.isEmpty() || !continuedReads.isEmpty();
    }

    private void queueContinuedReads() {
        long nowMicros = continuedReads.isEmpty() ? 0 : connectionClock.getAsLong();
        continuedReads.forEach(read -> readScheduler.add(read, nowMicros));
        continuedReads.clear();
    }

    void queueRead(ClientChannel channel) {
        readScheduler.add(channel, connectionClock.getAsLong());
        unpausedChannels.add(channel);
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new IterationHandler(transport.ioHandlers().newHandler(executor));
    }

    private boolean hasNoWork() {
        return tasks.isEmpty() && endTasks.isEmpty() && !hasWaitingReads() && !timerWheel.hasExpiredTimers();
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

    /** Runs a task and logs any exception, because an exception in one task must not end the loop. */
    public void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error("loop_task_failed", "error", e);
        }
    }

    private void readClients() {
        readScheduler.beginIteration(monotonicMicros());
        for (PendingRead ready = readScheduler.take(monotonicMicros());
                ready != null;
                ready = readScheduler.take(monotonicMicros())) {
            ScheduledRead read = (ScheduledRead) ready;
            setReadingIdle(ready.wasIdle());
            runSafely(read::read);
        }
        readingIdle = false;
        pauseQueuedChannels();
    }

    private void pauseQueuedChannels() {
        int keptCount = 0;
        int pausedCount = 0;
        for (ClientChannel channel : unpausedChannels) {
            if (channel.isQueued() && pausedCount++ < MAX_CHANNELS_PAUSED_PER_ITERATION) {
                channel.pauseReads();
            } else if (channel.isQueued()) {
                unpausedChannels.set(keptCount++, channel);
            }
        }
        unpausedChannels.subList(keptCount, unpausedChannels.size()).clear();
    }

    /** Runs the transport's I/O handler and then the other phases of an iteration. */
    private final class IterationHandler implements IoHandler {
        private final IoHandler selector;
        private final WaitContext waitContext = new WaitContext();
        private long lastIterationEndNanos;

        IterationHandler(IoHandler selector) {
            this.selector = selector;
        }

        @Override
        public int run(IoHandlerContext context) {
            // Netty's event loop runs its own tasks between two calls of this method
            long loopTasksNanos = lastIterationEndNanos == 0 ? 0 : System.nanoTime() - lastIterationEndNanos;
            waitContext.begin(context);
            int handledEvents = selector.run(waitContext);
            long startNanos = System.nanoTime();
            timerWheel.expire(startNanos / NANOS_PER_MICRO, budget.maxExpirations());
            runTasks();
            if (!readScheduler.isEmpty()) {
                readClients();
                runTasks();
            }
            runEndTasks();
            queueContinuedReads();
            lastIterationEndNanos = System.nanoTime();
            iterationTimes.add(loopTasksNanos + waitContext.activeNanos() + lastIterationEndNanos - startNanos);
            return handledEvents;
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            if (connectionBeingRegistered == null) {
                return selector.register(handle);
            }
            ClientChannel channel = transport.deferReads(handle, EventLoopScheduler.this);
            return channel.wrapRegistration(selector.register((IoHandle) channel));
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

    /** Limits the selector's wait to the next scheduled task of the loop or the next timer of the wheel. */
    private final class WaitContext implements IoHandlerContext {
        private IoHandlerContext context;
        private long activeNanos;

        void begin(IoHandlerContext loopContext) {
            context = loopContext;
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
            // with a shorter wait, a selector that waits in whole milliseconds would spin through the last millisecond
            // before every timer
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
