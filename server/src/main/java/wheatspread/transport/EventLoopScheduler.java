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
import wheatspread.scheduling.ReadScheduler;
import wheatspread.scheduling.ReconnectBurstLimiter;
import wheatspread.timers.TimerWheel;

/**
 * Orders the work of each turn of the event loop. First comes what the selector brings of the kernel, the
 * records service and the listeners, and what callers take of their answers; then timers that are due, and
 * the decisions and answers that all this leads to; then new requests, as {@link ReadScheduler} has them and
 * within its budget, and what they lead to; last the connections whose time is over. What a turn leaves
 * unread stays in the sockets.
 */
public final class EventLoopScheduler implements IoHandlerFactory {
    /** So many handles that have to wait are kept from the selector in one turn. */
    private static final int MOST_MUTED = 1_024;
    /** Tasks behind tasks in one phase of a turn; what is left is run by the next phase. */
    private static final int MOST_SOON = 256;

    private final Transport transport;
    private final IterationBudget limits;
    private final EventLog log;
    private final ReadScheduler order;
    private final TimerWheel wheel = new TimerWheel(micros());
    private final Deque<Runnable> soon = new ArrayDeque<>();
    private final Deque<Runnable> last = new ArrayDeque<>();
    private final List<ClientChannel> unmuted = new ArrayList<>();
    private final IterationTimes times = new IterationTimes();
    private LongSupplier now = () -> System.currentTimeMillis() * 1_000;
    private final ReconnectBurstLimiter gate;
    private Connection registering;
    private boolean sleeper;

    public EventLoopScheduler(Transport transport, IterationBudget limits, long seed, EventLog log) {
        this.transport = transport;
        this.limits = limits;
        this.log = log;
        order = new ReadScheduler(limits);
        gate = new ReconnectBurstLimiter(limits.burstThreshold(), seed);
    }

    /** The clock by which connections were used, in microseconds. */
    public void usedBy(LongSupplier clock) {
        now = clock;
    }

    public Transport transport() {
        return transport;
    }

    public IterationBudget limits() {
        return limits;
    }

    public ReadScheduler order() {
        return order;
    }

    public IterationTimes times() {
        return times;
    }

    /** The timers of the loop, by {@link #micros}. */
    public TimerWheel wheel() {
        return wheel;
    }

    /** The time of the wheel in microseconds, which nobody sets. */
    public static long micros() {
        return System.nanoTime() / 1_000;
    }

    /** Runs a task behind what is being read, in the same turn; only from the loop's thread. */
    public void soon(Runnable task) {
        soon.add(task);
    }

    /** Runs a task once at the end of a turn, behind all that is owed to anybody. */
    void runAtEnd(Runnable task) {
        last.add(task);
    }

    /** What is registered meanwhile is the channel of this caller. */
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

    /** Whether what is read now was queued as a sleeper. */
    void setReadingIdle(boolean ofSleeper) {
        sleeper = ofSleeper;
    }

    /**
     * Whether a request that was just read may go on; those of sleepers may not where they are a crowd. Who
     * may go on as a sleeper has to be given back to the {@link #gate}.
     */
    boolean tryAdmit() {
        return !sleeper || gate.tryAdmit(order.idleWaiting());
    }

    boolean isReadingIdle() {
        return sleeper;
    }

    public ReconnectBurstLimiter gate() {
        return gate;
    }

    void ready(ClientChannel handle) {
        order.add(handle, now.getAsLong());
        unmuted.add(handle);
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(transport.handlers().newHandler(executor));
    }

    private boolean idle() {
        return soon.isEmpty() && last.isEmpty() && order.isEmpty() && !wheel.overdue();
    }

    private void runSoon() {
        for (int i = 0; i < MOST_SOON && !soon.isEmpty(); i++) {
            run(soon.poll());
        }
    }

    private void runLast() {
        for (int left = last.size(); left > 0; left--) {
            run(last.poll());
        }
    }

    /** A fault in one task must not end the loop. */
    public void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error("loop_task_failed", "error", e);
        }
    }

    private void readCallers() {
        order.beginIteration(micros());
        for (var ready = order.take(micros()); ready != null; ready = order.take(micros())) {
            ClientChannel handle = (ClientChannel) ready;
            run(handle::read);
        }
        sleeper = false;
        int kept = 0;
        int muted = 0;
        for (ClientChannel handle : unmuted) {
            if (handle.isQueued() && muted++ < MOST_MUTED) {
                handle.mute();
            } else if (handle.isQueued()) {
                unmuted.set(kept++, handle);
            }
        }
        unmuted.subList(kept, unmuted.size()).clear();
    }

    /** The transport's own handler, with the phases of a turn behind what it does. */
    private final class Handler implements IoHandler {
        private final IoHandler selector;
        private final Waiting waiting = new Waiting();
        private long leftAt;

        Handler(IoHandler selector) {
            this.selector = selector;
        }

        @Override
        public int run(IoHandlerContext context) {
            long tasks = leftAt == 0 ? 0 : System.nanoTime() - leftAt; // the loop ran its own meanwhile
            waiting.context = context;
            waiting.active = 0;
            int handled = selector.run(waiting);
            long began = System.nanoTime();
            wheel.expire(began / 1_000, limits.maxExpirations());
            runSoon();
            if (!order.isEmpty()) {
                readCallers();
                runSoon();
            }
            runLast();
            leftAt = System.nanoTime();
            times.add(tasks + waiting.active + leftAt - began);
            return handled;
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            if (registering == null) {
                return selector.register(handle);
            }
            ClientChannel caller = transport.defer(handle, EventLoopScheduler.this);
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

    /** What the selector is told of how long it may wait: the loop's own tasks and ours. */
    private final class Waiting implements IoHandlerContext {
        private IoHandlerContext context;
        private long active;

        @Override
        public boolean canBlock() {
            return context.canBlock() && idle();
        }

        @Override
        public long delayNanos(long nanoTime) {
            long look = wheel.nextLook();
            long delay = context.delayNanos(nanoTime);
            long least = look == Long.MAX_VALUE ? delay : Math.min(delay, Math.max(0, look * 1_000 - nanoTime));
            // a selector that counts milliseconds would spin through the last one before every timer
            return least > 0 ? Math.max(least, transport.shortestWait()) : least;
        }

        @Override
        public long deadlineNanos() {
            long look = wheel.nextLook();
            long deadline = context.deadlineNanos();
            if (look == Long.MAX_VALUE) {
                return deadline;
            }
            long own = Math.max(0, look * 1_000 - Ticker.systemTicker().initialNanoTime());
            return deadline == -1 ? own : Math.min(deadline, own);
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            active += nanos;
            context.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }
    }
}
