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

/** One end of a connection in memory; the other end is whoever says something and hears what is written. */
final class MemoryChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 1);

    /** Who hears what the server writes. */
    interface Peer {
        void hear(MemoryChannel from, ByteBuf bytes);
    }

    private final ChannelConfig config = new DefaultChannelConfig(this);
    private final Peer peer;
    private volatile byte[] said;
    private IoRegistration registration;
    private boolean open = true;

    MemoryChannel(Peer peer) {
        super(null);
        this.peer = peer;
    }

    /** The peer says something; what it said before must have been read. From any thread. */
    void say(byte[] bytes) {
        said = bytes;
        MemoryTransport.Registration own = registration.attachment();
        own.ready();
    }

    private final class Unsafe extends AbstractUnsafe implements IoHandle {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            promise.setFailure(new UnsupportedOperationException());
        }

        @Override
        public void handle(IoRegistration from, IoEvent event) {
            byte[] bytes = said;
            if (bytes != null && open) {
                said = null;
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
            peer.hear(this, (ByteBuf) bytes);
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
        // what is said is read when the selector tells of it
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
