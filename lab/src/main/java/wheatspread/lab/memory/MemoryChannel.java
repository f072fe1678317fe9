package wheatspread.lab.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AbstractChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.IoEvent;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoRegistration;
import java.net.SocketAddress;

/** The server's end of a connection in memory. The peer delivers input and receives the written bytes. */
final class MemoryChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 1);

    /** Receives the bytes that the server writes; called on the event loop. */
    interface Peer {
        void receive(MemoryChannel from, ByteBuf bytes);
    }

    private final ChannelConfig config = new DefaultChannelConfig(this);
    private final Peer peer;
    private volatile byte[] input;
    private IoRegistration registration;
    private boolean open = true;

    MemoryChannel(Peer peer) {
        super(null);
        this.peer = peer;
    }

    /** Delivers input from the peer; the previous input must have been read. May be called from any thread. */
    void deliver(byte[] bytes) {
        input = bytes;
        MemoryTransport.Registration selectorRegistration = registration.attachment();
        selectorRegistration.markReady();
    }

    private final class Unsafe extends AbstractUnsafe implements IoHandle {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            promise.setFailure(new UnsupportedOperationException());
        }

        @Override
        public void handle(IoRegistration from, IoEvent event) {
            byte[] bytes = input;
            if (bytes != null && open) {
                input = null;
                pipeline().fireChannelRead(Unpooled.copiedBuffer(bytes));
                pipeline().fireChannelReadComplete();
            }
        }

        @Override
        public void close() {
            close(voidPromise());
        }
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Unsafe();
    }

    @Override
    protected void doRegister(ChannelPromise promise) {
        ((IoEventLoop) eventLoop()).register((IoHandle) unsafe()).addListener(done -> {
            registration = (IoRegistration) done.getNow();
            promise.setSuccess();
        });
    }

    @Override
    protected void doDeregister() {
        registration.cancel();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) {
        for (Object bytes = out.current(); bytes != null; bytes = out.current()) {
            peer.receive(this, (ByteBuf) bytes);
            out.remove();
        }
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected SocketAddress localAddress0() {
        return null;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return null;
    }

    @Override
    protected void doBind(SocketAddress address) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        open = false;
    }

    @Override
    protected void doBeginRead() {
        // the selector triggers reads when input is delivered
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }
}
