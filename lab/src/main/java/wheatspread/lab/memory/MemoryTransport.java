package wheatspread.lab.memory;

import io.netty.channel.Channel;
import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoOps;
import io.netty.channel.IoRegistration;
import io.netty.channel.ServerChannel;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import wheatspread.transport.ClientChannel;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/**
 * A transport whose sockets are in memory, for more connections than a process has descriptors. Like a selector, it
 * reports ready channels to the event loop, up to {@value #MAX_READY_CHANNELS} at a time, and the loop reads them.
 */
final class MemoryTransport implements Transport {
    private static final int MAX_READY_CHANNELS = 4_096;
    static final IoEvent READ = new IoEvent() {};

    @Override
    public String name() {
        return "memory";
    }

    @Override
    public IoHandlerFactory ioHandlers() {
        return Selector::new;
    }

    @Override
    public long minWaitNanos() {
        return 1;
    }

    @Override
    public Class<? extends ServerChannel> serverChannel() {
        throw new UnsupportedOperationException(
                "the memory transport has no server channel; channels are passed to the listener");
    }

    @Override
    public Class<? extends Channel> clientChannel() {
        throw new UnsupportedOperationException("the memory transport opens no client connections");
    }

    @Override
    public ClientChannel deferReads(IoHandle handle, EventLoopScheduler scheduler) {
        return new AlwaysReadableChannel(handle, scheduler);
    }

    private static final class AlwaysReadableChannel extends ClientChannel {
        AlwaysReadableChannel(IoHandle handle, EventLoopScheduler scheduler) {
            super(handle, scheduler);
        }

        @Override
        protected boolean hasInput(IoEvent ready) {
            return true;
        }

        @Override
        protected IoEvent withoutInput(IoEvent ready) {
            return null;
        }

        @Override
        protected IoOps withoutReadInterest(IoOps ops) {
            return ops;
        }
    }

    /** Replaces a selector: queues the channels in the order in which they became ready. */
    static final class Selector implements IoHandler {
        private final Queue<Registration> ready = new ConcurrentLinkedQueue<>();
        private final ThreadAwareExecutor executor;
        private volatile Thread thread;

        Selector(ThreadAwareExecutor executor) {
            this.executor = executor;
        }

        @Override
        public void initialize() {
            thread = Thread.currentThread();
        }

        @Override
        public int run(IoHandlerContext context) {
            if (ready.isEmpty() && context.canBlock()) {
                LockSupport.parkNanos(this, Math.max(1, context.delayNanos(System.nanoTime())));
            }
            long beganNanos = System.nanoTime();
            int handled = 0;
            for (Registration registration = ready.poll(); registration != null; registration = ready.poll()) {
                registration.handle.handle(registration, READ);
                if (++handled == MAX_READY_CHANNELS) {
                    break;
                }
            }
            context.reportActiveIoTime(System.nanoTime() - beganNanos);
            return handled;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            Registration registration = new Registration(handle, this);
            handle.registered();
            return registration;
        }

        @Override
        public void wakeup() {
            if (!executor.isExecutorThread(Thread.currentThread())) {
                LockSupport.unpark(thread);
            }
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return true;
        }

        void markReady(Registration registration) {
            ready.add(registration);
            wakeup();
        }
    }

    /** The registration of a channel with the selector. */
    static final class Registration implements IoRegistration {
        private final IoHandle handle;
        private final Selector selector;
        private boolean cancelled;

        Registration(IoHandle handle, Selector selector) {
            this.handle = handle;
            this.selector = selector;
        }

        /** Marks the channel as having input to read; may be called from any thread. */
        void markReady() {
            selector.markReady(this);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <T> T attachment() {
            return (T) this;
        }

        @Override
        public long submit(IoOps ops) {
            return 0;
        }

        @Override
        public boolean isValid() {
            return !cancelled;
        }

        @Override
        public boolean cancel() {
            boolean first = !cancelled;
            cancelled = true;
            return first;
        }
    }
}
