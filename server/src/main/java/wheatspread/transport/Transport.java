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

/** How sockets are reached: the JDK's selectors, or Linux's epoll where its native library loads. */
public interface Transport {
    String name();

    IoHandlerFactory handlers();

    Class<? extends ServerChannel> serverChannel();

    /**
     * A listening socket that this process was handed on descriptor {@code fd}, as a channel that is not yet
     * registered; thrown where it is no listening socket or the transport cannot take it.
     */
    default ServerChannel adoptListeningSocket(int fd) throws IOException {
        throw new IOException("transport " + name() + " takes no listening socket that is handed over");
    }

    /**
     * Hands on every connection that the system has accepted and this process has not, as a read of the
     * channel does; only from the loop's thread. What the system answers to the last accept is thrown.
     */
    default void acceptAll(ServerChannel listening) throws IOException {
        throw new IOException("transport " + name() + " has no listening sockets");
    }

    /** The shortest time it can wait, in nanoseconds; asked to wait for less it does not wait at all. */
    long shortestWait();

    Class<? extends Channel> clientChannel();

    /** Only what talks to peers asks for it. */
    default Class<? extends DatagramChannel> datagramChannel() {
        throw new UnsupportedOperationException("transport " + name() + " has no datagrams");
    }

    /** A handle that has the reads of a caller's socket wait for their turn. */
    ClientChannel defer(IoHandle handle, EventLoopScheduler turns);

    /** The transport of that name; {@code auto} is epoll where it works. */
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
        public IoHandlerFactory handlers() {
            return NioIoHandler.newFactory();
        }

        @Override
        public long shortestWait() {
            return 1_000_000;
        }

        @Override
        public Class<? extends ServerChannel> serverChannel() {
            return NioListenSocket.class;
        }

        /** The JDK hands over descriptor 0 alone, as the channel it inherited. */
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
        public ClientChannel defer(IoHandle handle, EventLoopScheduler turns) {
            return new ClientChannel.Nio(handle, turns);
        }
    }
}
