package wheatspread.lab.world;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.lab.Sites;
import wheatspread.lab.world.InvariantChecker.Asked;
import wheatspread.lab.world.InvariantChecker.Tried;

/**
 * One proxy with its clients. It chooses in turns or by the request's subject, goes on through its list after
 * refusals, comes again with a write at the same server where a connection broke, and heeds what servers
 * tell it, or does not.
 */
final class SimulatedProxy {
    private static final int MOST_OPEN = 32;
    private static final long LEAST_LEFT = 300;
    private static final long COMES_AGAIN = 400;
    /** A request that crosses a close so soon is sent again, once. */
    private static final long CROSSED = 50;

    private final int number;
    private final boolean bySubject;
    private final boolean heeds;
    private final EventLoop loop;
    private final InvariantChecker ledger;
    private final ServerList list;
    private final Map<String, InetSocketAddress> addresses;
    private final Random random;
    private final Map<String, List<Link>> links = new HashMap<>();
    private final Map<String, Long> stayAway = new HashMap<>();
    private final Map<String, Double> room = new HashMap<>();
    private int turn;
    private long lastTxn;
    private int mostPerLink = Integer.MAX_VALUE;

    SimulatedProxy(
            int number,
            boolean bySubject,
            boolean heeds,
            EventLoop loop,
            InvariantChecker ledger,
            ServerList list,
            Map<String, InetSocketAddress> addresses) {
        this.number = number;
        this.bySubject = bySubject;
        this.heeds = heeds;
        this.loop = loop;
        this.ledger = ledger;
        this.list = list;
        this.addresses = addresses;
        random = new Random(31 + number);
    }

    /** One request of a client, on its way. */
    private final class Going {
        final Asked asked;
        final String subject;
        final Set<String> refusedBy = new HashSet<>();
        int crossings;

        Going(Asked asked, String subject) {
            this.asked = asked;
            this.subject = subject;
        }

        long left() {
            return asked.at + asked.kind.deadlineMillis() - System.currentTimeMillis();
        }

        void next() {
            if (left() < LEAST_LEFT) {
                ledger.over(asked, "timed_out", System.currentTimeMillis());
                return;
            }
            String server = choose(this);
            if (server == null) {
                ledger.over(asked, "refused", System.currentTimeMillis());
            } else {
                to(server);
            }
        }

        void to(String server) {
            Link link = links.computeIfAbsent(server, name -> new ArrayList<>()).stream()
                    .filter(one -> !one.leaving && one.open.size() < MOST_OPEN)
                    .findFirst()
                    .orElse(null);
            (link == null ? new Link(server) : link).take(this);
        }

        void refused(String server, boolean last) {
            refusedBy.add(server);
            if (last && heeds) {
                ledger.over(asked, "refused", System.currentTimeMillis());
            } else {
                next();
            }
        }
    }

    void mostPerLink(int requests) {
        mostPerLink = requests;
    }

    /** A client asks. */
    void ask(Sites.Kind kind, double work, String subject) {
        Asked asked = new Asked(System.currentTimeMillis(), kind, work, kind.keyed() ? subject : null);
        ledger.asked(asked);
        new Going(asked, subject).next();
    }

    private String choose(Going going) {
        long now = System.currentTimeMillis();
        List<String> willing = new ArrayList<>(list.seenBy(number));
        willing.removeAll(going.refusedBy);
        if (heeds) {
            List<String> open = new ArrayList<>(willing);
            open.removeIf(name -> stayAway.getOrDefault(name, 0L) > now
                    || outstanding(name) >= room.getOrDefault(name, Double.MAX_VALUE));
            willing = open.isEmpty() ? willing : open;
        }
        if (willing.isEmpty()) {
            return null;
        }
        return willing.get(
                bySubject
                        ? Math.floorMod(going.subject.hashCode() * 31, willing.size())
                        : Math.floorMod(turn++, willing.size()));
    }

    private int outstanding(String server) {
        return links.getOrDefault(server, List.of()).stream()
                .mapToInt(one -> one.open.size())
                .sum();
    }

    private record Open(Going going, Tried tried) {}

    /** A connection to a server. */
    private final class Link extends SimpleChannelInboundHandler<String> {
        private final String server;
        private final Map<Long, Open> open = new HashMap<>();
        private final List<Going> early = new ArrayList<>();
        private Channel channel;
        private boolean leaving;
        private long lastId;

        Link(String server) {
            this.server = server;
            links.computeIfAbsent(server, name -> new ArrayList<>()).add(this);
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(1 << 16),
                                            new StringDecoder(StandardCharsets.UTF_8),
                                            new StringEncoder(StandardCharsets.UTF_8),
                                            Link.this);
                        }
                    })
                    .connect(addresses.get(server));
            connecting.addListener(done -> {
                if (!done.isSuccess()) {
                    drop();
                    // a refused connection proves that nothing ran
                    List.copyOf(early).forEach(going -> going.refused(server, false));
                }
            });
        }

        private void drop() {
            leaving = true;
            links.get(server).remove(this);
        }

        void take(Going going) {
            if (channel == null) {
                early.add(going);
                return;
            }
            long now = System.currentTimeMillis();
            long id = ++lastId;
            String txn = String.format("%04x%012x", number + 1, ++lastTxn);
            Tried tried = new Tried(going.asked, server, txn, now, now + going.left());
            open.put(id, new Open(going, tried));
            leaving |= id >= mostPerLink;
            ledger.tried(tried);
            String body = Base64.getEncoder()
                    .encodeToString(
                            ("work " + going.asked.work + " " + going.subject).getBytes(StandardCharsets.UTF_8));
            JSONObject params = new JSONObject()
                    .put("txn", txn)
                    .put("door", now)
                    .put("lb", number)
                    .put("team", Sites.tenant(random))
                    .put("limit", going.left())
                    .put("cpu", going.asked.work)
                    .put("ram", 24.5)
                    .put("standing", 0.5)
                    .put("blob", body);
            params.put(going.asked.key == null ? "item" : "unique", going.subject);
            channel.writeAndFlush(new JSONObject()
                            .put("jsonrpc", "2.0")
                            .put("id", id)
                            .put("method", going.asked.kind.name())
                            .put("params", params)
                    + "\n");
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            List.copyOf(early).forEach(this::take);
            early.clear();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            JSONObject message = new JSONObject(line);
            if (message.optString("method").equals("lastCall")) {
                leaving = true;
                closeIfDone();
                return;
            }
            Open one = open.remove(message.optLong("id"));
            if (one == null) {
                ledger.strayAnswer(server, line);
                return;
            }
            long now = System.currentTimeMillis();
            ledger.answered(one.tried, now);
            JSONObject error = message.optJSONObject("error");
            JSONObject told =
                    error == null ? message.getJSONObject("result") : error.optJSONObject("data", new JSONObject());
            if (told.has("feedback")) {
                room.put(server, told.getDouble("feedback"));
            }
            if (told.has("later")) {
                stayAway.put(server, now + told.getLong("later"));
            }
            if (error == null) {
                ledger.over(one.going.asked, "served", now);
            } else if (error.getInt("code") == -32066) {
                one.going.refused(server, told.has("giveup"));
            } else {
                ledger.over(one.going.asked, "failed", now);
            }
            if (error != null && error.getInt("code") == -32066 && !told.has("later")) {
                ledger.refusedWithoutTime();
            }
            closeIfDone();
        }

        private void closeIfDone() {
            if (leaving && open.isEmpty()) {
                links.get(server).remove(this);
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            drop();
            for (Open one : open.values()) {
                long age = System.currentTimeMillis() - one.tried.writtenAt;
                boolean crossed = age <= CROSSED && one.going.crossings++ == 0 && !ledger.isKilled(server);
                if (crossed) {
                    one.tried.excused = true;
                    one.going.to(server);
                    continue;
                }
                ledger.broken(one.tried);
                if (one.going.asked.key == null) {
                    one.going.refused(server, false);
                } else {
                    // it may have run there, so nowhere else; the same server tells if it still knows
                    loop.schedule(() -> again(one.going), COMES_AGAIN, TimeUnit.MILLISECONDS);
                }
            }
            open.clear();
        }

        private void again(Going going) {
            if (ledger.isKilled(server) || going.left() < LEAST_LEFT) {
                ledger.over(going.asked, "failed", System.currentTimeMillis());
            } else {
                going.to(server);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
