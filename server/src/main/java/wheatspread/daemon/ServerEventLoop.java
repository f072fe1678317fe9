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

/** The one event loop of a server, with its thread, its scheduler and its clock. Any thread may call. */
final class ServerEventLoop {
    /** How often a thread that waits for the loop checks whether the loop has ended. */
    private static final long LOOP_POLL_MILLIS = 500;

    private static final int CLOSE_TIMEOUT_MILLIS = 100;

    private final Transport transport;
    private final EventLoopScheduler scheduler;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock;

    /** {@code newClock} makes the clock of the loop. */
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

    /** What every outgoing connection of the server starts from. */
    Bootstrap clientBootstrap() {
        return new Bootstrap().group(loop).channel(transport.clientChannel()).option(ChannelOption.TCP_NODELAY, true);
    }

    /** Runs {@code task} on the loop's thread when the loop has ended, for whatever reason. */
    void whenEnded(Runnable task) {
        group.terminationFuture().addListener(ended -> task.run());
    }

    /** Runs a task on the loop's thread, and returns at once. */
    void execute(Runnable task) {
        loop.execute(task);
    }

    /** Runs a task on the loop's thread and waits for it. What it throws, and a loop that has ended, is thrown. */
    void runAndWait(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
            return;
        }
        Future<?> done = loop.submit(task);
        while (!done.awaitUninterruptibly(LOOP_POLL_MILLIS)) {
            if (loop.isTerminated()) {
                throw new IllegalStateException("the event loop has ended");
            }
        }
        done.syncUninterruptibly();
    }

    /** Ends the loop once its connections are closed; returns at once. */
    void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the loop now, with whatever is open, and waits for its end. */
    void kill() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
