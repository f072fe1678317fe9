package wheatspread.transport;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoOps;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoEvent;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoOps;
import java.nio.channels.SelectableChannel;
import wheatspread.connections.Connection;
import wheatspread.scheduling.PendingRead;

/**
 * Sits between the event loop and a caller's channel: write events pass at once, read events wait until the
 * read scheduler takes them. While a read waits over an iteration, the selector does not watch the channel
 * for input, or it would report the same input in every iteration. Used on the event loop only.
 */
public abstract class ClientChannel extends PendingRead implements IoHandle, IoRegistration {
    protected final IoHandle handle;
    private final EventLoopScheduler scheduler;
    private final Connection connection;
    private IoRegistration registration;
    /** The events that the channel wants from the selector. */
    private IoOps wanted;
    /** The last event that has input to read. */
    private IoEvent event;

    private boolean readsPaused;

    protected ClientChannel(IoHandle handle, EventLoopScheduler scheduler) {
        this.handle = handle;
        this.scheduler = scheduler;
        connection = scheduler.registering();
    }

    final IoRegistration registered(IoRegistration real) {
        registration = real;
        return this;
    }

    @Override
    protected final boolean hasOpenRequests() {
        return connection.openRequests() > 0;
    }

    @Override
    protected final long lastUsedMicros() {
        return connection.lastUsedMicros();
    }

    @Override
    public final void handle(IoRegistration real, IoEvent ready) {
        if (!reads(ready)) {
            handle.handle(real, ready);
            return;
        }
        event = ready;
        if (!isQueued()) {
            connection.setUnread(true);
            scheduler.ready(this);
        }
        IoEvent rest = withoutReading(ready);
        if (rest != null) {
            handle.handle(real, rest);
        }
    }

    /** Reads now: the read scheduler has taken it. */
    final void read() {
        connection.setUnread(false);
        connection.setCountsAsIdle(false);
        scheduler.setReadingIdle(wasIdle());
        if (readsPaused) {
            readsPaused = false;
            if (registration.isValid()) {
                registration.submit(wanted);
            }
        }
        if (registration.isValid()) {
            handle.handle(registration, event);
        }
    }

    /** Stops watching for input, since the read has to wait for a further iteration. */
    final void pauseReads() {
        if (!readsPaused && registration.isValid() && wanted != null) {
            readsPaused = true;
            registration.submit(withoutReadInterest(wanted));
        }
    }

    /** Whether an event has input to read. */
    protected abstract boolean reads(IoEvent ready);

    /** The rest of an event without its input; null if nothing is left. */
    protected abstract IoEvent withoutReading(IoEvent ready);

    /** What the channel wants from the selector, without input. */
    protected abstract IoOps withoutReadInterest(IoOps ops);

    // ---- the registration, as the channel sees it ----

    @Override
    public final long submit(IoOps ops) {
        wanted = ops;
        return registration.submit(readsPaused ? withoutReadInterest(ops) : ops);
    }

    @Override
    public final <T> T attachment() {
        return registration.attachment();
    }

    @Override
    public final boolean isValid() {
        return registration.isValid();
    }

    @Override
    public final boolean cancel() {
        return registration.cancel();
    }

    // ---- the handle, as the selector sees it ----

    @Override
    public final void registered() {
        handle.registered();
    }

    @Override
    public final void unregistered() {
        handle.unregistered();
    }

    @Override
    public final void close() {
        try {
            handle.close();
        } catch (Exception e) {
            throw new IllegalStateException(e); // the handles of channels throw none
        }
    }

    /** For the JDK's selectors, whose channels look at the selector's own record of what they want. */
    static final class Nio extends ClientChannel implements NioIoHandle {
        Nio(IoHandle handle, EventLoopScheduler scheduler) {
            super(handle, scheduler);
        }

        @Override
        public SelectableChannel selectableChannel() {
            return ((NioIoHandle) handle).selectableChannel();
        }

        @Override
        protected boolean reads(IoEvent event) {
            return ((NioIoEvent) event).ops().contains(NioIoOps.READ);
        }

        @Override
        protected IoEvent withoutReading(IoEvent event) {
            return ((NioIoEvent) event).ops().contains(NioIoOps.WRITE) ? new Event(NioIoOps.WRITE) : null;
        }

        @Override
        protected IoOps withoutReadInterest(IoOps ops) {
            return ((NioIoOps) ops).without(NioIoOps.READ);
        }
    }

    private record Event(NioIoOps ops) implements NioIoEvent {}
}
