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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Where a stand-in listens: a free port of the loopback address, which may change as the protocol's page has
 * it: the old address takes nothing new from then on, and what is open there ends after a while.
 */
public final class StandInEndpoint implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int LONGEST_LINE = 1 << 20;

    private final EventLoopGroup group;
    private final Supplier<ChannelHandler> handler;
    private final boolean lines;
    private Channel listening;
    private ChannelGroup open;
    private int port;

    /** {@code lines}: whether the handler gets lines of text, or the bytes as they come. */
    public StandInEndpoint(EventLoopGroup group, Supplier<ChannelHandler> handler, boolean lines) {
        this.group = group;
        this.handler = handler;
        this.lines = lines;
        open(0);
    }

    private void open(int at) {
        ChannelGroup children = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        listening = new ServerBootstrap()
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
                                            new LineBasedFrameDecoder(LONGEST_LINE),
                                            new StringDecoder(StandardCharsets.UTF_8));
                        }
                        child.pipeline().addLast(new StringEncoder(StandardCharsets.UTF_8), handler.get());
                    }
                })
                .bind(HOST, at)
                .syncUninterruptibly()
                .channel();
        open = children;
        port = ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Where it listens, or is to listen again. */
    public synchronized InetSocketAddress address() {
        return new InetSocketAddress(HOST, port);
    }

    /** As configurations have it. */
    public synchronized String text() {
        return HOST + ':' + port;
    }

    /**
     * Goes to another port at once; what is open at the old one is closed after so many milliseconds. Not on
     * the group's own thread.
     */
    public synchronized void move(long closeAfter) {
        Channel before = listening;
        ChannelGroup left = open;
        open(0);
        before.close().syncUninterruptibly();
        group.next()
                .schedule(
                        () -> {
                            left.close();
                        },
                        closeAfter,
                        TimeUnit.MILLISECONDS);
    }

    /** Refuses at this address; what is open stays. */
    public synchronized void refuse() {
        listening.close().syncUninterruptibly();
    }

    /** Listens again where it refused, unless it does already. */
    public synchronized void acceptAgain() {
        if (listening.isOpen()) {
            return;
        }
        ChannelGroup before = open;
        open(port);
        open.addAll(before);
    }

    @Override
    public synchronized void close() {
        listening.close();
        open.close();
    }
}
