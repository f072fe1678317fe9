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

/** The socket implementation: the JDK's selectors, or Linux's epoll if its native library loads. */
public interface Transport {
    String name();

    IoHandlerFactory ioHandlers();

    Class<? extends ServerChannel> serverChannel();

    /**
     * Wraps a listening socket that this process inherited as descriptor {@code fd} in a channel that is not
     * registered yet. Throws an IOException if the descriptor is not a listening socket or the transport cannot
     * use it.
     */
    default ServerChannel adoptListeningSocket(int fd) throws IOException {
        throw new IOException("transport " + name() + " cannot use an inherited listening socket");
    }

    /**
     * Accepts every connection in the operating system's accept queue and passes it to the channel's pipeline.
     * Event loop only. Stops at the first accept that fails, and throws the exception.
     */
    default void acceptAll(ServerChannel listening) throws IOException {
        throw new IOException("transport " + name() + " does not support listening sockets");
    }

    /**
     * Returns the shortest time in nanoseconds that the selector can wait; for a shorter time the selector does not
     * wait.
     */
    long minWaitNanos();

    Class<? extends Channel> clientChannel();

    /** Returns the class of datagram channels, which only cluster membership uses. */
    default Class<? extends DatagramChannel> datagramChannel() {
        throw new UnsupportedOperationException("transport " + name() + " does not support datagrams");
    }

    /** Wraps the handle of a client's channel so that reads wait for the read scheduler. */
    ClientChannel deferReads(IoHandle handle, EventLoopScheduler scheduler);

    /**
     * Returns the transport {@code nio} or {@code epoll}; any other name, such as {@code auto}, selects epoll if
     * it is available and nio otherwise. Throws an IllegalStateException if epoll is named and not available.
     */
    static Transport named(String name) {
        if (name.equals("nio")) {
            return new Nio();
        }
        Transport epoll = EpollTransport.ifAvailable();
        if (epoll == null && name.equals("epoll")) {
            throw new IllegalStateException(
                    "transport epoll is not available: its native library is missing or does not load");
        }
        return epoll == null ? new Nio() : epoll;
    }

    /** The transport on the JDK's selectors. */
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

        /** Accepts descriptor 0 only: the JDK gives access to no other inherited socket. */
        @Override
        public ServerChannel adoptListeningSocket(int fd) throws IOException {
            if (fd != 0 || !(System.inheritedChannel() instanceof ServerSocketChannel inherited)) {
                throw new IOException("transport nio cannot use descriptor " + fd
                        + ": expected descriptor 0 to be a listening socket");
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
