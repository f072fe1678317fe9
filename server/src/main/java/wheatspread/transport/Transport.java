package wheatspread.transport;

import io.netty.channel.Channel;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;

/** The implementation of sockets: the JDK's selectors, or Linux's epoll where its native library loads. */
public interface Transport {
    String name();

    IoHandlerFactory ioHandlers();

    Class<? extends ServerChannel> serverChannel();

    /**
     * Wraps a listening socket that this process inherited as descriptor {@code fd} in a channel that is not
     * registered yet; fails if it is no listening socket or the transport cannot use it.
     */
    default ServerChannel adoptListeningSocket(int fd) throws IOException {
        throw new IOException("transport " + name() + " takes no listening socket that is handed over");
    }

    /**
     * Accepts every connection in the system's accept queue, as a read of the channel does; on the event loop
     * only. Fails with the error of the last accept, if there is one.
     */
    default void acceptAll(ServerChannel listening) throws IOException {
        throw new IOException("transport " + name() + " has no listening sockets");
    }

    /** The shortest time it can wait, in nanoseconds; for anything shorter it does not wait at all. */
    long minWaitNanos();

    Class<? extends Channel> clientChannel();

    /** Needed for membership only. */
    default Class<? extends DatagramChannel> datagramChannel() {
        throw new UnsupportedOperationException("transport " + name() + " has no datagrams");
    }

    /** Wraps the handle of a caller's channel so that reads wait for the read scheduler. */
    ClientChannel deferReads(IoHandle handle, EventLoopScheduler scheduler);

    /** The transport with a name: {@code nio}, {@code epoll}, or {@code auto} for epoll where it works. */
    static Transport named(String name) {
        if (name.equals("nio")) {
            return new Nio();
        }
        Transport epoll = EpollTransport.ifAvailable();
        if (epoll == null && name.equals("epoll")) {
            throw new IllegalStateException("transport epoll does not work here");
        }
        return epoll == null ? new Nio() : epoll;
    }

    /** The JDK's selectors. */
    final class Nio implements Transport {
        @Override
        public String name() {
            return "nio";
        }

        @Override
        public IoHandlerFactory ioHandlers() {
            return NioIoHandler.newFactory();
        }

        @Override
        public long minWaitNanos() {
            return 1_000_000;
        }

        @Override
        public Class<? extends ServerChannel> serverChannel() {
            return NioListenSocket.class;
        }

        /** The JDK can use descriptor 0 only, as the channel it inherited. */
        @Override
        public ServerChannel adoptListeningSocket(int fd) throws IOException {
            if (fd != 0 || !(System.inheritedChannel() instanceof ServerSocketChannel inherited)) {
                throw new IOException("descriptor " + fd + " is no listening socket that nio can take");
            }
            return new NioListenSocket(inherited);
        }

        @Override
        public void acceptAll(ServerChannel listening) throws IOException {
            ((NioListenSocket) listening).acceptAll();
        }

        @Override
        public Class<? extends Channel> clientChannel() {
            return NioSocketChannel.class;
        }

        @Override
        public Class<? extends DatagramChannel> datagramChannel() {
            return NioDatagramChannel.class;
        }

        @Override
        public ClientChannel deferReads(IoHandle handle, EventLoopScheduler scheduler) {
            return new ClientChannel.Nio(handle, scheduler);
        }
    }
}
