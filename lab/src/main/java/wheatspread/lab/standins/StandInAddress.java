package wheatspread.lab.standins;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** The address of a stand-in that stays where it is. */
public final class StandInAddress {
    private StandInAddress() {}

    /** {@code lines}: whether the handler gets lines of text, or the bytes as they come. */
    public static InetSocketAddress listen(EventLoopGroup group, Supplier<ChannelHandler> handler, boolean lines) {
        return new StandInEndpoint(group, handler, lines).address();
    }

    /** As configurations have it. */
    public static String format(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }
}
