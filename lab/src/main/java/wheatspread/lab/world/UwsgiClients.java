package wheatspread.lab.world;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import wheatspread.lab.Sites;
import wheatspread.lab.world.InvariantChecker.Attempt;
import wheatspread.lab.world.InvariantChecker.ClientRequest;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/**
 * Simulates a web server in front of the uwsgi fronts: some connections to each server, each with one request at a time
 * until the server closes it. All methods run on the simulation's event loop.
 */
final class UwsgiClients {
    /** Marks the subjects of these clients' requests, whose job ids the server draws itself. */
    static final String SUBJECT_PREFIX = "uwsgi-";

    private static final int CONNECTIONS_PER_SERVER = 2;
    private static final long MAX_PAUSE_MS = 300;
    private static final long RECONNECT_DELAY_MS = 200;
    private static final long CLOSE_RACE_MS = 50;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final int OK_STATUS = 200;
    private static final int UNAVAILABLE_STATUS = 503;
    private static final double MEAN_WORK_MS = 60;

    private final EventLoop loop;
    private final InvariantChecker checker;
    private final Random random;
    private long lastRequest;
    private boolean running = true;

    UwsgiClients(EventLoop loop, InvariantChecker checker, Map<String, InetSocketAddress> fronts, long seed) {
        this.loop = loop;
        this.checker = checker;
        random = new Random(seed);
        fronts.forEach((server, address) -> {
            for (int i = 0; i < CONNECTIONS_PER_SERVER; i++) {
                connect(server, address);
            }
        });
    }

    /** Sends no further requests; pending ones are still answered. */
    void stop() {
        running = false;
    }

    private void connect(String server, InetSocketAddress address) {
        if (!running) {
            return;
        }
        Connection connection = new Connection(server, address);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        created.pipeline()
                                .addLast(
                                        new HttpResponseDecoder(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        connection);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        reconnect(server, address);
                    }
                });
    }

    private void reconnect(String server, InetSocketAddress address) {
        loop.schedule(() -> connect(server, address), RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private static ByteBuf encode(Attempt attempt, long timeoutMillis) {
        ClientRequest request = attempt.request;
        byte[] body = ("work " + request.work + " " + attempt.txn).getBytes(StandardCharsets.UTF_8);
        Map<String, String> vars = new HashMap<>();
        vars.put("PATH_INFO", "/");
        vars.put("RECIPE_CLASS", request.kind.name());
        vars.put("RECIPE_TENANT", Sites.TENANTS.get(0));
        vars.put("RECIPE_LIMIT_MS", Long.toString(timeoutMillis));
        vars.put(request.kind.keyed() ? "RECIPE_UNIQUE" : "RECIPE_ITEM", attempt.txn);
        vars.put("CONTENT_LENGTH", Integer.toString(body.length));
        ByteBuf packet = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
        return packet.writeBytes(body);
    }

    /** One connection to a server. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String server;
        private final InetSocketAddress address;
        private Attempt pending;

        Connection(String server, InetSocketAddress address) {
            this.server = server;
            this.address = address;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendAfterPause(context);
        }

        private void sendAfterPause(ChannelHandlerContext context) {
            loop.schedule(() -> send(context), random.nextLong(MAX_PAUSE_MS), TimeUnit.MILLISECONDS);
        }

        private void send(ChannelHandlerContext context) {
            if (!running || !context.channel().isActive()) {
                context.close();
                return;
            }
            long nowMillis = System.currentTimeMillis();
            Sites.Kind kind = Sites.kind(random);
            String subject = SUBJECT_PREFIX + ++lastRequest;
            double work = MEAN_WORK_MS * (0.5 + random.nextDouble());
            ClientRequest request = new ClientRequest(nowMillis, kind, work, kind.keyed() ? subject : null);
            checker.recordRequest(request);
            pending = new Attempt(request, server, subject, nowMillis, nowMillis + kind.deadlineMillis());
            checker.recordAttempt(pending);
            context.writeAndFlush(encode(pending, kind.deadlineMillis()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (pending == null) {
                checker.recordUnmatchedResponse(server, response.status().toString());
                return;
            }
            long nowMillis = System.currentTimeMillis();
            int status = response.status().code();
            checker.recordResponse(pending, nowMillis);
            checker.recordOutcome(
                    pending.request,
                    status == OK_STATUS ? "served" : status == UNAVAILABLE_STATUS ? "refused" : "failed",
                    nowMillis);
            pending = null;
            sendAfterPause(context);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (pending != null) {
                boolean raced = System.currentTimeMillis() - pending.sentAtMillis <= CLOSE_RACE_MS;
                if (raced) {
                    pending.excused = true;
                } else {
                    checker.recordBrokenConnection(pending);
                }
                checker.recordOutcome(pending.request, "failed", System.currentTimeMillis());
            }
            reconnect(server, address);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // the server reset the connection
        }
    }
}
