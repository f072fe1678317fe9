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
 * Stands between the event loop and a caller's channel: what is to be written goes on at once, what is to be
 * read waits for its turn. While it waits, what the channel wants to hear of is kept from the selector, or
 * every turn would be told of it again.
 */
public abstract class ClientChannel extends PendingRead implements IoHandle, IoRegistration {
    protected final IoHandle handle;
    private final EventLoopScheduler turns;
    private final Connection connection;
    private IoRegistration registration;
    private IoOps wanted;
    private IoEvent event;
    private boolean muted;

    protected ClientChannel(IoHandle handle, EventLoopScheduler turns) {
        this.handle = handle;
        this.turns = turns;
        connection = turns.registering();
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
            turns.ready(this);
        }
        IoEvent now = withoutReading(ready);
        if (now != null) {
            handle.handle(real, now);
        }
    }

    /** Its turn has come. */
    final void read() {
        connection.setUnread(false);
        connection.setCountsAsIdle(false);
        turns.setReadingIdle(wasIdle());
        if (muted) {
            muted = false;
            if (registration.isValid()) {
                registration.submit(wanted);
            }
        }
        if (registration.isValid()) {
            handle.handle(registration, event);
        }
    }

    /** It has to wait for a further turn. */
    final void mute() {
        if (!muted && registration.isValid() && wanted != null) {
            muted = true;
            registration.submit(mute(wanted));
        }
    }

    protected abstract boolean reads(IoEvent ready);

    /** What is left of an event that has more to it than reading; null if nothing is. */
    protected abstract IoEvent withoutReading(IoEvent ready);

    /** What the channel wants to hear of, but for reading. */
    protected abstract IoOps mute(IoOps ops);

    // ---- the registration, as the channel sees it ----

    @Override
    public final long submit(IoOps ops) {
        wanted = ops;
        return registration.submit(muted ? mute(ops) : ops);
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
            throw new IllegalStateException(e); // channels' handles throw none
        }
    }

    /** On the JDK's selectors, whose channels look at the selector's own record of what they want. */
    static final class Nio extends ClientChannel implements NioIoHandle {
        Nio(IoHandle handle, EventLoopScheduler turns) {
            super(handle, turns);
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
        protected IoOps mute(IoOps ops) {
            return ((NioIoOps) ops).without(NioIoOps.READ);
        }
    }

    private record Event(NioIoOps ops) implements NioIoEvent {}
}
