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
 * A transport whose sockets are queues in memory, for crowds that no process has descriptors for. Like a
 * selector it tells the loop which channels are ready, some thousands at a time, and the loop reads them.
 */
final class MemoryTransport implements Transport {
    private static final int READY_AT_ONCE = 4_096;
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
        throw new UnsupportedOperationException("channels are handed to the listener");
    }

    @Override
    public Class<? extends Channel> clientChannel() {
        throw new UnsupportedOperationException("nobody is called");
    }

    @Override
    public ClientChannel deferReads(IoHandle handle, EventLoopScheduler turns) {
        return new Deferring(handle, turns);
    }

    private static final class Deferring extends ClientChannel {
        Deferring(IoHandle handle, EventLoopScheduler turns) {
            super(handle, turns);
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

    /** Stands for the selector: the channels that became ready, in their order. */
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
            long began = System.nanoTime();
            int handled = 0;
            for (Registration one = ready.poll(); one != null; one = ready.poll()) {
                one.handle.handle(one, READ);
                if (++handled == READY_AT_ONCE) {
                    break;
                }
            }
            context.reportActiveIoTime(System.nanoTime() - began);
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

        void ready(Registration registration) {
            ready.add(registration);
            wakeup();
        }
    }

    /** One channel's place at the selector. */
    static final class Registration implements IoRegistration {
        private final IoHandle handle;
        private final Selector selector;
        private boolean gone;

        Registration(IoHandle handle, Selector selector) {
            this.handle = handle;
            this.selector = selector;
        }

        /** The channel has something to read; from any thread. */
        void ready() {
            selector.ready(this);
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
            return !gone;
        }

        @Override
        public boolean cancel() {
            boolean first = !gone;
            gone = true;
            return first;
        }
    }
}
