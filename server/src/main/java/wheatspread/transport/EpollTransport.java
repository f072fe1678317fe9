package wheatspread.transport;

import io.netty.channel.Channel;
import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoOps;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoEvent;
import io.netty.channel.epoll.EpollIoHandle;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollIoOps;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.unix.FileDescriptor;
import io.netty.channel.unix.Socket;
import java.io.IOException;

/** The transport on Linux's epoll, through Netty's native library. */
final class EpollTransport implements Transport {
    /** The native library writes one length byte and an address of up to 26 bytes. */
    private static final int ADDRESS_BYTES = 1 + 26;

    private EpollTransport() {}

    /** Returns the transport; null if the native library is missing or does not load on this machine. */
    static Transport ifAvailable() {
        try {
            return Epoll.isAvailable() ? new EpollTransport() : null;
        } catch (LinkageError e) {
            return null;
        }
    }

    @Override
    public String name() {
        return "epoll";
    }

    @Override
    public IoHandlerFactory ioHandlers() {
        return EpollIoHandler.newFactory();
    }

    @Override
    public long minWaitNanos() {
        return 1;
    }

    @Override
    public Class<? extends ServerChannel> serverChannel() {
        return EpollServerSocketChannel.class;
    }

    @Override
    public ServerChannel adoptListeningSocket(int fd) {
        return new EpollServerSocketChannel(fd);
    }

    @Override
    public void acceptAll(ServerChannel listening) throws IOException {
        Socket socket = (Socket) ((EpollServerSocketChannel) listening).fd();
        byte[] address = new byte[ADDRESS_BYTES];
        for (int fd = socket.accept(address); fd >= 0; fd = socket.accept(address)) {
            listening.pipeline().fireChannelRead(new EpollSocketChannel(fd));
        }
    }

    @Override
    public Class<? extends Channel> clientChannel() {
        return EpollSocketChannel.class;
    }

    @Override
    public Class<? extends DatagramChannel> datagramChannel() {
        return EpollDatagramChannel.class;
    }

    @Override
    public ClientChannel deferReads(IoHandle handle, EventLoopScheduler scheduler) {
        return new EpollClientChannel(handle, scheduler);
    }

    private static final class EpollClientChannel extends ClientChannel implements EpollIoHandle {
        EpollClientChannel(IoHandle handle, EventLoopScheduler scheduler) {
            super(handle, scheduler);
        }

        @Override
        public FileDescriptor fd() {
            return ((EpollIoHandle) handle).fd();
        }

        @Override
        protected boolean hasInput(IoEvent event) {
            return ((EpollIoEvent) event).ops().contains(EpollIoOps.EPOLLIN);
        }

        @Override
        protected IoEvent withoutInput(IoEvent event) {
            EpollIoOps ops = ((EpollIoEvent) event).ops();
            return ops.contains(EpollIoOps.EPOLLOUT) ? new Event(EpollIoOps.EPOLLOUT) : null;
        }

        @Override
        protected IoOps withoutReadInterest(IoOps ops) {
            // EPOLLERR is reported in any case, but with an empty event set Netty would remove the descriptor
            return ((EpollIoOps) ops)
                    .without(EpollIoOps.EPOLLIN)
                    .without(EpollIoOps.EPOLLRDHUP)
                    .with(EpollIoOps.EPOLLERR);
        }
    }

    private record Event(EpollIoOps ops) implements EpollIoEvent {}
}
