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
 * Sends requests to one server over many connections, each for a tenant and a route drawn uniformly. The load is
 * either open, as a Poisson process with a steady rate that does not depend on the answers, or closed, with a constant
 * number of requests open.
 */
final class LoadClients implements AutoCloseable {
    private static final long TICK_MICROS = 500;
    private static final long RESEND_DELAY_MS = 100;
    private static final long ANSWER_TIMEOUT_MS = 16_000;
    /** The request number of the greeting. */
    private static final long GREETING_NUMBER = 0;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Wire wire;
    private final TimedKernel kernel;
    private final RequestSpace space;
    private final Random random;
    private final List<Connection> connections = new ArrayList<>();
    private AnswerTimes times = new AnswerTimes();
    /** The rate of the open load; 0 for none. */
    private double requestsPerSecond;
    /** The number of requests that the closed load keeps open; 0 for none. */
    private int targetOpen;

    private long nextSendNanos;
    private long lastRequest;
    private int open;

    /** The numbers of tenants and routes to draw from, and the seed of the draws. */
    record RequestSpace(int tenants, int routes, long seed) {}

    /** A request to send; {@code path} is used only by the uwsgi front. */
    record Request(long number, Sites.Kind kind, String tenant, String path) {}

    /** The result in an answer. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        /** The message answers no counted request. */
        NONE
    }

    /** The encoding of requests and answers on one front of a server. */
    interface Wire {
        /** Adds the handlers that decode the bytes of each answer into one message. */
        void decodeInto(Channel channel);

        /** Returns the first message of a connection; a server closes connections that send nothing. */
        ByteBuf greeting();

        ByteBuf encode(Request request);

        /** Returns the number of the answered request, or 0 if answers follow the order of the requests. */
        long requestNumber(Object message);

        Outcome outcome(Object message);
    }

    private record Sent(long sentNanos, Request request, AnswerTimes times) {}

    LoadClients(Wire wire, InetSocketAddress address, int count, TimedKernel kernel, RequestSpace space) {
        this.wire = wire;
        this.kernel = kernel;
        this.space = space;
        random = new Random(space.seed);
        for (int i = 0; i < count; i++) {
            connections.add(connect(address));
        }
        loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    private Connection connect(InetSocketAddress address) {
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
                .connect(address)
                .syncUninterruptibly()
                .channel();
        callOnLoop(() -> {
            connection.unanswered.put(GREETING_NUMBER, new Sent(0, null, null));
            return connection.channel.writeAndFlush(wire.greeting());
        });
        return connection;
    }

    /** Starts a new measurement interval; requests sent from then on are recorded in the returned object. */
    AnswerTimes begin() {
        return callOnLoop(() -> {
            times = new AnswerTimes();
            return times;
        });
    }

    /** Sends requests at this rate per second; 0 stops. */
    void sendAtRate(double rate) {
        callOnLoop(() -> {
            nextSendNanos = requestsPerSecond == 0 ? System.nanoTime() : nextSendNanos;
            requestsPerSecond = rate;
            return null;
        });
    }

    /** Keeps {@code count} requests open; 0 stops. */
    void keepOpen(int count) {
        callOnLoop(() -> {
            targetOpen = count;
            while (open < targetOpen) {
                send();
            }
            return null;
        });
    }

    /** Returns the number of requests without an answer. */
    int openRequests() {
        return callOnLoop(() -> open);
    }

    /** Stops sending and waits for the open requests; returns how many still lack an answer at the timeout. */
    int stopAndAwaitAnswers() throws InterruptedException {
        sendAtRate(0);
        keepOpen(0);
        MeasuredServer.await(() -> openRequests() == 0, ANSWER_TIMEOUT_MS);
        return openRequests();
    }

    /** Runs a task on the event loop, which owns all mutable state of this class, and waits for its result. */
    private <T> T callOnLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    private void tick() {
        while (requestsPerSecond > 0 && nextSendNanos <= System.nanoTime()) {
            send();
            nextSendNanos += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
        }
    }

    private void send() {
        Request request = new Request(
                ++lastRequest,
                Sites.kind(random),
                Sites.tenantName(random.nextInt(space.tenants)),
                SettingsFiles.path(random.nextInt(space.routes)));
        Connection connection = idlestConnection();
        connection.unanswered.put(request.number, new Sent(System.nanoTime(), request, times));
        open++;
        times.recordRequest();
        connection.channel.writeAndFlush(wire.encode(request));
    }

    /** Returns a connection with few open requests, because the uwsgi front answers in the requests' order. */
    private Connection idlestConnection() {
        Connection idlest = connections.get(random.nextInt(connections.size()));
        for (int i = 0; i < connections.size() && !idlest.unanswered.isEmpty(); i++) {
            Connection other = connections.get(i);
            idlest = other.unanswered.size() < idlest.unanswered.size() ? other : idlest;
        }
        return idlest;
    }

    private void onAnswer(Sent sent, Outcome outcome) {
        long answeredNanos = System.nanoTime();
        TimedKernel.Run run = kernel.removeRun(sent.request.number);
        open--;
        sent.times.recordAnswer(sent.sentNanos, answeredNanos, sent.request.kind(), outcome, run);
        if (open < targetOpen && outcome == Outcome.SERVED) {
            send();
        } else if (open < targetOpen) {
            loop.schedule(this::sendIfBelowTarget, RESEND_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void sendIfBelowTarget() {
        if (open < targetOpen) {
            send();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** A connection to the server, used on the event loop only. */
    private final class Connection extends SimpleChannelInboundHandler<Object> {
        private final Map<Long, Sent> unanswered = new LinkedHashMap<>();
        private Channel channel;

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) {
            Outcome outcome = wire.outcome(message);
            if (outcome == Outcome.NONE) {
                unanswered.remove(GREETING_NUMBER);
                return;
            }
            Sent sent = remove(wire.requestNumber(message));
            if (sent != null && sent.request != null) {
                onAnswer(sent, outcome);
            }
        }

        private Sent remove(long number) {
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
            context.close(); // the open requests of the connection stay unanswered
        }
    }
}
