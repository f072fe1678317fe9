package wheatspread.jsonrpc;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wheatspread.core.Clock;
import wheatspread.core.Core;

/** The platform's front: accepts the proxies' connections and bounds their number and their idling. */
public final class RpcFront {
    /** The longest line: a body of 2 KiB in base64 and its fields take under 4 KiB. */
    static final int LONGEST_LINE = 16 * 1024;
    private static final long SWEEP_MS = 100;

    private final Core core;
    private final Clock clock;
    private final RequestReader reader;
    private final int mostConnections;
    private final Consumer<String> log;
    private final Set<RpcConnection> connections = new LinkedHashSet<>();
    private Channel listening;
    private long idleAfter;
    private boolean leaving;

    public RpcFront(Core core, Clock clock, int mostConnections, Consumer<String> log) {
        this.core = core;
        this.clock = clock;
        this.mostConnections = mostConnections;
        this.log = log;
        reader = new RequestReader(core.site());
    }

    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(64 * 1024, 128 * 1024))
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    accept(ch);
                }
            }).bind(address);
        listening = bound.channel();
        return bound;
    }

    private void accept(Channel ch) {
        if (connections.size() >= mostConnections) {
            ch.close(); // guards the descriptors that kernel, records and announce need
            return;
        }
        ch.pipeline().addLast(new LineDecoder(LONGEST_LINE), new StringEncoder(StandardCharsets.UTF_8),
            new RpcConnection(this, core, clock, reader, log));
    }

    void opened(RpcConnection connection) {
        connections.add(connection);
        if (leaving) {
            connection.lastCall();
        }
    }

    void closed(RpcConnection connection) {
        connections.remove(connection);
    }

    /** Connections without an open request are closed after so many microseconds; 0 means never. */
    public void closeIdle(long after) {
        idleAfter = after;
    }

    private void sweep() {
        if (idleAfter > 0) {
            long before = clock.now() - idleAfter;
            new ArrayList<>(connections).forEach(c -> c.closeIfIdleSince(before));
        }
    }

    /** Tells all proxies that no new request may come on what they hold open. */
    public void lastCall() {
        leaving = true;
        connections.forEach(RpcConnection::lastCall);
    }

    public void stopListening() {
        if (listening != null) {
            listening.close();
        }
    }

    public void close() {
        stopListening();
        new ArrayList<>(connections).forEach(RpcConnection::close);
    }
}
