package wheatspread.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import wheatspread.config.OperatorConfig;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/** The event loop of a server, with its thread, scheduler and clock. Thread-safe. */
final class ServerEventLoop {
    /** How often a thread that waits for a task checks whether the event loop has terminated. */
    private static final long LOOP_POLL_MILLIS = 500;

    private static final int CLOSE_TIMEOUT_MILLIS = 100;

    private final Transport transport;
    private final EventLoopScheduler scheduler;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock;

    /** Starts the event loop; {@code newClock} creates its clock. */
    ServerEventLoop(
            OperatorConfig operator,
            long seed,
            BiFunction<EventLoop, EventLoopScheduler, Clock> newClock,
            EventLog log) {
        transport = Transport.named(operator.transport());
        scheduler = new EventLoopScheduler(transport, operator.iterationBudget(), seed, log);
        group = new MultiThreadIoEventLoopGroup(1, threadFactory(log), scheduler);
        loop = group.next();
        clock = newClock.apply(loop, scheduler);
        scheduler.setConnectionClock(clock::nowMicros);
    }

    private static ThreadFactory threadFactory(EventLog log) {
        ThreadFactory threads = new DefaultThreadFactory("event-loop", Thread.MAX_PRIORITY);
        return task -> {
            Thread thread = threads.newThread(task);
            thread.setUncaughtExceptionHandler(
                    (failed, cause) -> log.error("thread_failed", "thread", failed.getName(), "error", cause));
            return thread;
        };
    }

    Transport transport() {
        return transport;
    }

    EventLoopScheduler scheduler() {
        return scheduler;
    }

    EventLoop loop() {
        return loop;
    }

    Clock clock() {
        return clock;
    }

    /** Returns a bootstrap with the common settings of all outgoing connections of the server. */
    Bootstrap clientBootstrap() {
        return new Bootstrap().group(loop).channel(transport.clientChannel()).option(ChannelOption.TCP_NODELAY, true);
    }

    /** Runs {@code task} when the event loop has terminated, for any reason. */
    void onTermination(Runnable task) {
        group.terminationFuture().addListener(ended -> task.run());
    }

    /** Runs a task on the event loop's thread; returns without waiting for it. */
    void execute(Runnable task) {
        loop.execute(task);
    }

    /**
     * Runs a task on the event loop's thread, waits for it, and rethrows its exception.
     *
     * @throws IllegalStateException if the event loop has terminated
     */
    void runAndWait(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
            return;
        }
        Future<?> done = loop.submit(task);
        while (!done.awaitUninterruptibly(LOOP_POLL_MILLIS)) {
            if (loop.isTerminated()) {
                throw new IllegalStateException("the event loop has terminated");
            }
        }
        done.syncUninterruptibly();
    }

    /**
     * Closes the open connections and terminates the event loop, within {@value #CLOSE_TIMEOUT_MILLIS} ms; returns
     * without waiting for the termination.
     */
    void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes the open connections and terminates the event loop; returns after the event loop has terminated. */
    void kill() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
