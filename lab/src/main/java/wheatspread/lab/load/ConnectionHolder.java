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

/** Holds many connections that do little, from many source addresses. */
public final class ConnectionHolder implements AutoCloseable {
    private static final int CONNECTING = 400;
    private static final int OF_SOURCE = 100;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InetSocketAddress to;
    private final boolean uwsgi;
    private final int firstSource;
    private final List<Held> all = new ArrayList<>();
    private int connecting;
    private int begun;
    private int failed;
    private int answers;
    private int served;
    private int refused;
    private int told;
    private int twice;
    private int closed;
    private long firstClosed;
    private long lastClosed;
    private long lastAnswer;

    /** Holds connections to a port of the loopback address, from source addresses that begin at {@code firstSource}. */
    public ConnectionHolder(int port, boolean uwsgi, int firstSource) {
        to = new InetSocketAddress("127.0.0.1", port);
        this.uwsgi = uwsgi;
        this.firstSource = firstSource;
    }

    private final class Held extends SimpleChannelInboundHandler<ByteBuf> {
        private Channel channel;
        private boolean owed;

        /** Answers are small and come in one piece. */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            boolean answer = uwsgi ? text.startsWith("HTTP/1.1") : text.startsWith("{");
            if (!answer || text.contains("lastCall")) {
                return;
            }
            twice += owed ? 0 : 1;
            owed = false;
            answers++;
            lastAnswer = System.nanoTime();
            served += text.contains("\"result\"") || text.startsWith("HTTP/1.1 200") ? 1 : 0;
            refused += text.contains("-32066") || text.startsWith("HTTP/1.1 503") ? 1 : 0;
            told += text.contains("\"later\"") || text.contains("Retry-After") ? 1 : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lastClosed = System.nanoTime();
            firstClosed = closed++ == 0 ? lastClosed : firstClosed;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Opens so many connections, some hundred at a time. */
    public JSONObject open(int count) throws InterruptedException {
        long began = System.nanoTime();
        loop.execute(() -> connect(count));
        await(() -> all.size() + failed >= count && answers + closed >= all.size(), 60);
        return new JSONObject()
                .put("open", all.size())
                .put("answered", answers)
                .put("closed", closed)
                .put("failed", failed)
                .put("took_ms", since(began));
    }

    private void connect(int count) {
        while (begun < count && connecting < CONNECTING) {
            connecting++;
            int source = firstSource + begun++ / OF_SOURCE;
            Held held = new Held();
            InetSocketAddress from = new InetSocketAddress(address(source), 0);
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(held)
                    .connect(to, from)
                    .addListener(done -> {
                        connecting--;
                        if (done.isSuccess()) {
                            all.add(held);
                            held.channel = ((ChannelFuture) done).channel();
                            held.owed = true;
                            held.channel.writeAndFlush(check()); // as an app does that has come up
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

    private ByteBuf check() {
        return uwsgi ? packet("/health", "") : text("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
    }

    /** Each sends a request at once. */
    public JSONObject sendBurst() throws InterruptedException {
        long door = System.currentTimeMillis();
        Sites.Kind search = Sites.KINDS.get(1);
        return ask(i -> uwsgi
                ? packet("/search", "i" + i)
                : text(Sites.request(
                        2,
                        search,
                        "barangay-kitchens",
                        String.format("%016x", 0x5EEDL << 40 | (long) firstSource << 20 | i),
                        door)));
    }

    private interface Message {
        ByteBuf of(int index);
    }

    private JSONObject ask(Message message) throws InterruptedException {
        List<ByteBuf> messages = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            messages.add(message.of(i));
        }
        long[] began = new long[2];
        loop.submit(() -> {
                    answers = 0;
                    served = 0;
                    refused = 0;
                    told = 0;
                    twice = 0;
                    began[0] = System.nanoTime();
                    for (int i = 0; i < all.size(); i++) {
                        all.get(i).owed = true;
                        all.get(i).channel.writeAndFlush(messages.get(i));
                    }
                    began[1] = System.nanoTime();
                })
                .syncUninterruptibly();
        await(() -> answers + closed >= all.size(), 20);
        TimeUnit.MILLISECONDS.sleep(300); // second answers would come now
        return new JSONObject()
                .put("asked", all.size())
                .put("answered", answers)
                .put("served", served)
                .put("refused", refused)
                .put("told_when_to_come_back", told)
                .put("answered_twice", twice)
                .put("closed", closed)
                .put("sending_took_ms", (began[1] - began[0]) / 1_000_000)
                .put("all_answered_ms", (lastAnswer - began[0]) / 1_000_000);
    }

    /** Waits until the server has closed all. */
    public JSONObject awaitClosed(int seconds) throws InterruptedException {
        await(() -> closed >= all.size(), seconds);
        return new JSONObject()
                .put("closed", closed)
                .put("of", all.size())
                .put("from_first_to_last_ms", (lastClosed - firstClosed) / 1_000_000);
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

    private interface Done {
        boolean yet();
    }

    private void await(Done done, int seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!loop.submit(done::yet).syncUninterruptibly().getNow() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static long since(long began) {
        return (System.nanoTime() - began) / 1_000_000;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
