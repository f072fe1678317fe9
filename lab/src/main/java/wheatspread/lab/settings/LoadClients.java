package wheatspread.lab.settings;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import wheatspread.lab.Sites;

/**
 * Callers that ask one server over many connections, each request for a tenant and a route drawn evenly. They ask
 * either at a steady rate whatever becomes of the answers, the times drawn as a Poisson process, or so that always
 * the same number of requests is open.
 */
final class LoadClients implements AutoCloseable {
    private static final long TICK_MICROS = 500;
    private static final long ASK_AGAIN_MS = 100;
    private static final long SETTLE_MS = 16_000;
    /** The number of what a connection says first. */
    private static final long GREETING = 0;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Wire wire;
    private final TimedKernel kernel;
    private final Drawn drawn;
    private final Random random;
    private final List<Connection> connections = new ArrayList<>();
    private AnswerTimes times = new AnswerTimes();
    private double perSecond;
    private int kept;
    private long next;
    private long lastRequest;
    private int open;

    /** From how many tenants and routes a request's are drawn, by which seed. */
    record Drawn(int tenants, int routes, long seed) {}

    /** A request as it is asked: its number, its class, the tenant's name, and its path where the wire has one. */
    record Request(long number, Sites.Kind kind, String tenant, String path) {}

    /** What an answer says. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        /** It answers no request that was counted. */
        NONE
    }

    /** How requests and answers look on one front of a server. */
    interface Wire {
        /** The handlers that make one message of the bytes of each answer. */
        void decodeInto(Channel channel);

        /** What a connection says first, since a server closes one that says nothing. */
        ByteBuf greeting();

        ByteBuf encode(Request request);

        /** The number of the request that is answered; 0 where the order tells it. */
        long answers(Object message);

        Outcome outcome(Object message);
    }

    private record Sent(long at, Request request, AnswerTimes times) {}

    LoadClients(Wire wire, InetSocketAddress to, int count, TimedKernel kernel, Drawn drawn) {
        this.wire = wire;
        this.kernel = kernel;
        this.drawn = drawn;
        random = new Random(drawn.seed);
        for (int i = 0; i < count; i++) {
            connections.add(connect(to));
        }
        loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    private Connection connect(InetSocketAddress to) {
        Connection connection = new Connection();
        connection.channel = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        wire.decodeInto(channel);
                        channel.pipeline().addLast(connection);
                    }
                })
                .connect(to)
                .syncUninterruptibly()
                .channel();
        on(() -> {
            connection.unanswered.put(GREETING, new Sent(0, null, null));
            return connection.channel.writeAndFlush(wire.greeting());
        });
        return connection;
    }

    /** Requests belong to a new stretch of time from now on, whose answers go to the returned one. */
    AnswerTimes begin() {
        return on(() -> {
            times = new AnswerTimes();
            return times;
        });
    }

    /** Asks so often from now on; 0 ends it. */
    void ask(double rate) {
        on(() -> {
            next = perSecond == 0 ? System.nanoTime() : next;
            perSecond = rate;
            return null;
        });
    }

    /** Keeps so many requests open from now on; 0 ends it. */
    void keepOpen(int count) {
        on(() -> {
            kept = count;
            while (open < kept) {
                send();
            }
            return null;
        });
    }

    /** How many requests have no answer yet. */
    int open() {
        return on(() -> open);
    }

    /** Asks nothing more and waits until all is answered; returns how many requests still lack an answer. */
    int settle() throws InterruptedException {
        ask(0);
        keepOpen(0);
        MeasuredServer.await(() -> open() == 0, SETTLE_MS);
        return open();
    }

    /** On the loop's thread, on which everything here lives. */
    private <T> T on(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    private void tick() {
        while (perSecond > 0 && next <= System.nanoTime()) {
            send();
            next += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        }
    }

    private void send() {
        Request request = new Request(
                ++lastRequest,
                Sites.kind(random),
                Sites.tenantName(random.nextInt(drawn.tenants)),
                SettingsFiles.path(random.nextInt(drawn.routes)));
        Connection connection = leastBusy();
        connection.unanswered.put(request.number, new Sent(System.nanoTime(), request, times));
        open++;
        times.asked();
        connection.channel.writeAndFlush(wire.encode(request));
    }

    /** A connection with few unanswered requests, since answers on the uwsgi front keep the requests' order. */
    private Connection leastBusy() {
        Connection least = connections.get(random.nextInt(connections.size()));
        for (int i = 0; i < connections.size() && !least.unanswered.isEmpty(); i++) {
            Connection other = connections.get(i);
            least = other.unanswered.size() < least.unanswered.size() ? other : least;
        }
        return least;
    }

    private void answered(Sent sent, Outcome outcome) {
        long now = System.nanoTime();
        TimedKernel.Run run = kernel.take(sent.request.number);
        open--;
        sent.times.answered(sent.at, now, sent.request.kind(), outcome, run);
        if (open < kept && outcome == Outcome.SERVED) {
            send();
        } else if (open < kept) {
            loop.schedule(this::topUp, ASK_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void topUp() {
        if (open < kept) {
            send();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** One connection to the server. */
    private final class Connection extends SimpleChannelInboundHandler<Object> {
        private final Map<Long, Sent> unanswered = new LinkedHashMap<>();
        private Channel channel;

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) {
            Outcome outcome = wire.outcome(message);
            if (outcome == Outcome.NONE) {
                unanswered.remove(GREETING);
                return;
            }
            Sent sent = take(wire.answers(message));
            if (sent != null && sent.request != null) {
                answered(sent, outcome);
            }
        }

        private Sent take(long number) {
            if (number != 0 || unanswered.isEmpty()) {
                return unanswered.remove(number);
            }
            Iterator<Sent> oldest = unanswered.values().iterator();
            Sent sent = oldest.next();
            oldest.remove();
            return sent;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // what was open there stays unanswered
        }
    }
}
