package wheatspread.lab.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** A stand-in's listening socket on a free port of the loopback address. */
public final class Listening {
    private Listening() { }

    /** {@code lines}: whether the handler gets lines of text, or the bytes as they come. */
    public static InetSocketAddress on(EventLoopGroup group, Supplier<ChannelHandler> handler,
        boolean lines) {
        Channel channel = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel child) {
                    if (lines) {
                        child.pipeline().addLast(new LineBasedFrameDecoder(1 << 20),
                            new StringDecoder(StandardCharsets.UTF_8));
                    }
                    child.pipeline().addLast(new StringEncoder(StandardCharsets.UTF_8), handler.get());
                }
            }).bind("127.0.0.1", 0).syncUninterruptibly().channel();
        return (InetSocketAddress) channel.localAddress();
    }

    /** As configurations have it. */
    public static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }
}
