package wheatspread.jsonrpc;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.sockets.Listener;

/** The platform's front: JSON-RPC 2.0, one message a line. */
public final class RpcFront {
    /** The longest line: a body of 2 KiB in base64 and its fields take under 4 KiB. */
    static final int LONGEST_LINE = 16 * 1024;

    private final Listener listener;

    public RpcFront(EventLoop loop, Core core, Clock clock, int mostConnections, Consumer<String> log) {
        RequestReader reader = new RequestReader(core.site());
        listener = new Listener(loop, clock, mostConnections, channel -> {
            LineDecoder decoder = new LineDecoder(LONGEST_LINE);
            channel.pipeline().addLast(decoder, new StringDecoder(StandardCharsets.UTF_8),
                new StringEncoder(StandardCharsets.UTF_8),
                new RpcConnection(listener(), core, clock, reader, decoder, log));
        });
    }

    public Listener listener() {
        return listener;
    }
}
