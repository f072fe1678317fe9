package wheatspread.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.lab.Sites;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/**
 * Holds many mostly idle connections to one port, from many source addresses. Counters are written on the event
 * loop.
 */
public final class ConnectionHolder implements AutoCloseable {
    private static final int MAX_CONNECTING = 400;
    private static final int MAX_CONNECTIONS_PER_SOURCE = 100;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InetSocketAddress target;
    private final boolean uwsgi;
    private final int firstSourceIndex;
    private final List<HeldConnection> connections = new ArrayList<>();
    private int connecting;
    private int attempted;
    private int failed;
    private int responses;
    private int served;
    private int refused;
    private int retryTimes;
    private int duplicates;
    private int closed;
    private long firstClosedNanos;
    private long lastClosedNanos;
    private long lastResponseNanos;

    /** Creates a holder of connections to a loopback port, whose source addresses begin at {@code firstSourceIndex}. */
    public ConnectionHolder(int port, boolean uwsgi, int firstSourceIndex) {
        target = new InetSocketAddress("127.0.0.1", port);
        this.uwsgi = uwsgi;
        this.firstSourceIndex = firstSourceIndex;
    }

    private final class HeldConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private Channel channel;
        private boolean awaitingResponse;

        /** Counts a response; responses are small enough to arrive in one read. */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            boolean isResponse = uwsgi ? text.startsWith("HTTP/1.1") : text.startsWith("{");
            if (!isResponse || text.contains("lastCall")) {
                return;
            }
            duplicates += awaitingResponse ? 0 : 1;
            awaitingResponse = false;
            responses++;
            lastResponseNanos = System.nanoTime();
            served += text.contains("\"result\"") || text.startsWith("HTTP/1.1 200") ? 1 : 0;
            refused += text.contains("-32066") || text.startsWith("HTTP/1.1 503") ? 1 : 0;
            retryTimes += text.contains("\"later\"") || text.contains("Retry-After") ? 1 : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lastClosedNanos = System.nanoTime();
            firstClosedNanos = closed++ == 0 ? lastClosedNanos : firstClosedNanos;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Opens {@code count} connections, at most {@link #MAX_CONNECTING} at a time, sends a health check on each and
     * returns counts; waits at most 60 s.
     */
    public JSONObject open(int count) throws InterruptedException {
        long beganNanos = System.nanoTime();
        loop.execute(() -> connect(count));
        await(() -> connections.size() + failed >= count && responses + closed >= connections.size(), 60);
        return new JSONObject()
                .put("open", connections.size())
                .put("answered", responses)
                .put("closed", closed)
                .put("failed", failed)
                .put("took_ms", millisSince(beganNanos));
    }

    private void connect(int count) {
        while (attempted < count && connecting < MAX_CONNECTING) {
            connecting++;
            int source = firstSourceIndex + attempted++ / MAX_CONNECTIONS_PER_SOURCE;
            HeldConnection held = new HeldConnection();
            InetSocketAddress from = new InetSocketAddress(address(source), 0);
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(held)
                    .connect(target, from)
                    .addListener(done -> {
                        connecting--;
                        if (done.isSuccess()) {
                            connections.add(held);
                            held.channel = ((ChannelFuture) done).channel();
                            held.awaitingResponse = true;
                            held.channel.writeAndFlush(healthCheck()); // as a client does after it has connected
                        } else {
                            failed++;
                        }
                        connect(count);
                    });
        }
    }

    private static InetAddress address(int source) {
        try {
            return InetAddress.getByAddress(new byte[] {127, 1, (byte) (source / 250), (byte) (1 + source % 250)});
        } catch (java.net.UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private ByteBuf healthCheck() {
        return uwsgi ? packet("/health", "") : text("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
    }

    /** Sends a request on every connection at once and returns counts and times of the responses. */
    public JSONObject sendBurst() throws InterruptedException {
        long nowMillis = System.currentTimeMillis();
        Sites.Kind search = Sites.KINDS.get(1);
        return sendRequests(i -> uwsgi
                ? packet("/search", "i" + i)
                : text(Sites.request(
                        2,
                        search,
                        "barangay-kitchens",
                        String.format("%016x", 0x5EEDL << 40 | (long) firstSourceIndex << 20 | i),
                        nowMillis)));
    }

    private interface MessageFactory {
        ByteBuf create(int index);
    }

    private JSONObject sendRequests(MessageFactory factory) throws InterruptedException {
        List<ByteBuf> messages = new ArrayList<>();
        for (int i = 0; i < connections.size(); i++) {
            messages.add(factory.create(i));
        }
        long[] beganNanos = new long[2];
        loop.submit(() -> {
                    responses = 0;
                    served = 0;
                    refused = 0;
                    retryTimes = 0;
                    duplicates = 0;
                    beganNanos[0] = System.nanoTime();
                    for (int i = 0; i < connections.size(); i++) {
                        connections.get(i).awaitingResponse = true;
                        connections.get(i).channel.writeAndFlush(messages.get(i));
                    }
                    beganNanos[1] = System.nanoTime();
                })
                .syncUninterruptibly();
        await(() -> responses + closed >= connections.size(), 20);
        TimeUnit.MILLISECONDS.sleep(300); // waits for unexpected second responses
        return new JSONObject()
                .put("asked", connections.size())
                .put("answered", responses)
                .put("served", served)
                .put("refused", refused)
                .put("told_when_to_come_back", retryTimes)
                .put("answered_twice", duplicates)
                .put("closed", closed)
                .put("sending_took_ms", (beganNanos[1] - beganNanos[0]) / 1_000_000)
                .put("all_answered_ms", (lastResponseNanos - beganNanos[0]) / 1_000_000);
    }

    /** Waits at most {@code seconds} until the server has closed all connections, and returns counts and times. */
    public JSONObject awaitClosed(int seconds) throws InterruptedException {
        await(() -> closed >= connections.size(), seconds);
        return new JSONObject()
                .put("closed", closed)
                .put("of", connections.size())
                .put("from_first_to_last_ms", (lastClosedNanos - firstClosedNanos) / 1_000_000);
    }

    private static ByteBuf text(String line) {
        return Unpooled.copiedBuffer(line, StandardCharsets.UTF_8);
    }

    private static ByteBuf packet(String path, String item) {
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("PATH_INFO", path);
        if (!item.isEmpty()) {
            vars.put("RECIPE_ITEM", item);
        }
        ByteBuf out = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), out);
        return out;
    }

    private interface Condition {
        boolean isMet();
    }

    private void await(Condition condition, int seconds) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!loop.submit(condition::isMet).syncUninterruptibly().getNow() && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static long millisSince(long beganNanos) {
        return (System.nanoTime() - beganNanos) / 1_000_000;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
