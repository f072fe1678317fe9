package wheatspread.lab.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The listening endpoint of a stand-in service, on a free port of the loopback address. It can move to another
 * port as the protocol's page describes: the old address accepts no new connections, and its open connections
 * are closed after a delay. Methods that bind or close a port block, so they must not run on the group's threads.
 */
public final class StandInEndpoint implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final EventLoopGroup group;
    private final Supplier<ChannelHandler> handler;
    private final boolean lines;
    private Channel listener;
    private ChannelGroup connections;
    private int port;

    /**
     * Starts listening on a free port. If {@code lines} is true, the handler gets decoded lines of text, otherwise
     * the received bytes.
     */
    public StandInEndpoint(EventLoopGroup group, Supplier<ChannelHandler> handler, boolean lines) {
        this.group = group;
        this.handler = handler;
        this.lines = lines;
        bind(0);
    }

    private void bind(int requestedPort) {
        ChannelGroup children = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel child) {
                        children.add(child);
                        if (lines) {
                            child.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                            new StringDecoder(StandardCharsets.UTF_8));
                        }
                        child.pipeline().addLast(new StringEncoder(StandardCharsets.UTF_8), handler.get());
                    }
                })
                .bind(HOST, requestedPort)
                .syncUninterruptibly()
                .channel();
        connections = children;
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the current address, also while connections to it are refused. */
    public synchronized InetSocketAddress address() {
        return new InetSocketAddress(HOST, port);
    }

    /** Returns the current address as {@code host:port}, the form used in configurations. */
    public synchronized String text() {
        return HOST + ':' + port;
    }

    /**
     * Moves to another port at once, and closes the connections of the old port after {@code closeAfterMillis}.
     * Must not be called on the group's threads.
     */
    public synchronized void move(long closeAfterMillis) {
        Channel previous = listener;
        ChannelGroup oldConnections = connections;
        bind(0);
        previous.close().syncUninterruptibly();
        group.next()
                .schedule(
                        () -> {
                            oldConnections.close();
                        },
                        closeAfterMillis,
                        TimeUnit.MILLISECONDS);
    }

    /** Refuses new connections at the current address; open connections stay. */
    public synchronized void refuse() {
        listener.close().syncUninterruptibly();
    }

    /**
     * Accepts connections at the current address again after {@link #refuse}; no effect while listening. Returns
     * whether the service listens; false if another process has taken the port.
     */
    public synchronized boolean acceptAgain() {
        if (listener.isOpen()) {
            return true;
        }
        ChannelGroup previousConnections = connections;
        try {
            bind(port);
        } catch (Exception e) {
            if (e instanceof BindException) { // thrown by Netty without being declared
                return false;
            }
            throw e;
        }
        connections.addAll(previousConnections);
        return true;
    }

    @Override
    public synchronized void close() {
        listener.close();
        connections.close();
    }
}
