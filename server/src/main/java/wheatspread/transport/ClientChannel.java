package wheatspread.transport;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoOps;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoEvent;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoOps;
import java.nio.channels.SelectableChannel;

/**
 * Intercepts the I/O events of a client's channel. Write events are passed on immediately; read events are
 * deferred until the read scheduler selects the channel. While a read is deferred beyond an iteration, the
 * selector does not watch the channel for input, because it would report the same input in every iteration.
 * Used on the event loop only.
 */
public abstract class ClientChannel extends ScheduledRead implements IoHandle, IoRegistration {
    protected final IoHandle handle;
    private final EventLoopScheduler scheduler;
    private IoRegistration registration;
    /** The operations that the channel submitted last; null before the first submit. */
    private IoOps requestedOps;
    /** The last event that reported input. */
    private IoEvent readEvent;

    private boolean readsPaused;

    protected ClientChannel(IoHandle handle, EventLoopScheduler scheduler) {
        super(scheduler.connectionBeingRegistered());
        this.handle = handle;
        this.scheduler = scheduler;
    }

    /** Sets the selector's registration and returns the registration for the channel, which is this object. */
    final IoRegistration wrapRegistration(IoRegistration selectorRegistration) {
        registration = selectorRegistration;
        return this;
    }

    @Override
    public final void handle(IoRegistration selectorRegistration, IoEvent ready) {
        if (!hasInput(ready)) {
            handle.handle(selectorRegistration, ready);
            return;
        }
        readEvent = ready;
        if (!isQueued()) {
            connection.setUnread(true);
            scheduler.queueRead(this);
        }
        IoEvent remaining = withoutInput(ready);
        if (remaining != null) {
            handle.handle(selectorRegistration, remaining);
        }
    }

    @Override
    final void read() {
        connection.setUnread(false);
        connection.setCountsAsIdle(false);
        if (readsPaused) {
            readsPaused = false;
            if (registration.isValid()) {
                registration.submit(requestedOps);
            }
        }
        if (registration.isValid()) {
            handle.handle(registration, readEvent);
        }
    }

    /** Stops watching for input while the read is deferred to a later iteration. */
    final void pauseReads() {
        if (!readsPaused && registration.isValid() && requestedOps != null) {
            readsPaused = true;
            registration.submit(withoutReadInterest(requestedOps));
        }
    }

    /** Returns whether an event reports input to read. */
    protected abstract boolean hasInput(IoEvent ready);

    /** Returns the event without its input operations; null if no operation remains. */
    protected abstract IoEvent withoutInput(IoEvent ready);

    /** Returns the operations without those that watch for input. */
    protected abstract IoOps withoutReadInterest(IoOps ops);

    // ---- IoRegistration, used by the channel ----

    @Override
    public final long submit(IoOps ops) {
        requestedOps = ops;
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

    // ---- IoHandle, used by the selector ----

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
            throw new IllegalStateException(e); // Netty's channel handles do not throw from close
        }
    }

    /** The implementation for the JDK's selectors, whose channels check the operations registered there. */
    static final class Nio extends ClientChannel implements NioIoHandle {
        Nio(IoHandle handle, EventLoopScheduler scheduler) {
            super(handle, scheduler);
        }

        @Override
        public SelectableChannel selectableChannel() {
            return ((NioIoHandle) handle).selectableChannel();
        }

        @Override
        protected boolean hasInput(IoEvent event) {
            return ((NioIoEvent) event).ops().contains(NioIoOps.READ);
        }

        @Override
        protected IoEvent withoutInput(IoEvent event) {
            return ((NioIoEvent) event).ops().contains(NioIoOps.WRITE) ? new Event(NioIoOps.WRITE) : null;
        }

        @Override
        protected IoOps withoutReadInterest(IoOps ops) {
            return ((NioIoOps) ops).without(NioIoOps.READ);
        }
    }

    private record Event(NioIoOps ops) implements NioIoEvent {}
}
