package wheatspread.lab.standins;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Starts stand-in services at a fixed address, and formats addresses. */
public final class StandInAddress {
    private StandInAddress() {}

    /**
     * Listens on a free loopback port and returns its address. If {@code lines} is true, the handler gets decoded
     * lines of text, otherwise the received bytes.
     */
    public static InetSocketAddress listen(EventLoopGroup group, Supplier<ChannelHandler> handler, boolean lines) {
        return new StandInEndpoint(group, handler, lines).address();
    }

    /** Returns the address as {@code host:port}, the form used in configurations. */
    public static String format(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }
}
