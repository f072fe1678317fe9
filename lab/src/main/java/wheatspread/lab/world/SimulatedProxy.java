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
import wheatspread.lab.world.InvariantChecker.Attempt;
import wheatspread.lab.world.InvariantChecker.ClientRequest;

/**
 * Simulates one proxy with its clients. It selects servers round-robin or by a hash of the request's subject and
 * tries the next server after a refusal. It retries a request with an idempotency key only at the same server
 * when a connection broke. If {@code heedsFeedback} is set, it follows the servers' retry-after times, load
 * feedback and instructions to give up. All methods run on the simulation's event loop.
 */
final class SimulatedProxy {
    private static final int MAX_PENDING_PER_LINK = 32;
    private static final long MIN_REMAINING_MS = 300;
    private static final long RETRY_DELAY_MS = 400;
    /** A request whose connection closes within this time after it was sent is resent once to the same server. */
    private static final long CLOSE_RACE_MS = 50;

    private final int number;
    private final boolean selectsBySubject;
    private final boolean heedsFeedback;
    private final EventLoop loop;
    private final InvariantChecker checker;
    private final SimulatedAnnounceService announceService;
    private final Map<String, InetSocketAddress> addresses;
    private final Random random;
    private final Map<String, List<Link>> links = new HashMap<>();
    private final Map<String, Long> retryNotBeforeMillis = new HashMap<>();
    private final Map<String, Double> feedbackLimits = new HashMap<>();
    private int nextTurn;
    private long lastTxn;
    private int maxRequestsPerLink = Integer.MAX_VALUE;
    private boolean keepsUsingOpenLinks;

    SimulatedProxy(
            int number,
            boolean selectsBySubject,
            boolean heedsFeedback,
            EventLoop loop,
            InvariantChecker checker,
            SimulatedAnnounceService announceService,
            Map<String, InetSocketAddress> addresses) {
        this.number = number;
        this.selectsBySubject = selectsBySubject;
        this.heedsFeedback = heedsFeedback;
        this.loop = loop;
        this.checker = checker;
        this.announceService = announceService;
        this.addresses = addresses;
        random = new Random(31 + number);
    }

    /** A client's request in progress. */
    private final class OngoingRequest {
        final ClientRequest request;
        final String subject;
        final Set<String> refusedBy = new HashSet<>();
        int resends;

        OngoingRequest(ClientRequest request, String subject) {
            this.request = request;
            this.subject = subject;
        }

        long remainingMillis() {
            return request.startedAtMillis + request.kind.deadlineMillis() - System.currentTimeMillis();
        }

        void tryNextServer() {
            if (remainingMillis() < MIN_REMAINING_MS) {
                checker.recordOutcome(request, "timed_out", System.currentTimeMillis());
                return;
            }
            String server = selectServer(this);
            if (server == null) {
                checker.recordOutcome(request, "refused", System.currentTimeMillis());
            } else {
                sendTo(server);
            }
        }

        void sendTo(String server) {
            Link link = links.computeIfAbsent(server, name -> new ArrayList<>()).stream()
                    .filter(candidate -> !candidate.closing && candidate.pending.size() < MAX_PENDING_PER_LINK)
                    .findFirst()
                    .orElse(null);
            (link == null ? new Link(server) : link).send(this);
        }

        void handleRefusal(String server, boolean giveUp) {
            refusedBy.add(server);
            if (giveUp && heedsFeedback) {
                checker.recordOutcome(request, "refused", System.currentTimeMillis());
            } else {
                tryNextServer();
            }
        }
    }

    /** Closes connections after this many requests from now on. */
    void limitRequestsPerLink(int requests) {
        maxRequestsPerLink = requests;
    }

    /** Uses open links to servers that the list no longer contains, until the servers close them. */
    void keepUsingOpenLinks() {
        keepsUsingOpenLinks = true;
    }

    private boolean hasOpenLink(String server) {
        return links.getOrDefault(server, List.of()).stream()
                .anyMatch(link -> !link.closing && link.channel != null && link.pending.size() < MAX_PENDING_PER_LINK);
    }

    /** Starts a client's request; {@code work} is its declared CPU time in milliseconds. */
    void startRequest(Sites.Kind kind, double work, String subject) {
        ClientRequest request =
                new ClientRequest(System.currentTimeMillis(), kind, work, kind.keyed() ? subject : null);
        checker.recordRequest(request);
        new OngoingRequest(request, subject).tryNextServer();
    }

    private String selectServer(OngoingRequest ongoing) {
        long nowMillis = System.currentTimeMillis();
        List<String> accepting = new ArrayList<>(announceService.acceptingServers(number));
        if (keepsUsingOpenLinks) {
            addresses.keySet().stream()
                    .filter(name -> !accepting.contains(name) && hasOpenLink(name))
                    .forEach(accepting::add);
        }
        accepting.removeAll(ongoing.refusedBy);
        if (heedsFeedback) {
            List<String> available = new ArrayList<>(accepting);
            available.removeIf(name -> retryNotBeforeMillis.getOrDefault(name, 0L) > nowMillis
                    || pendingRequests(name) >= feedbackLimits.getOrDefault(name, Double.MAX_VALUE));
            return available.isEmpty() ? choose(accepting, ongoing) : choose(available, ongoing);
        }
        return choose(accepting, ongoing);
    }

    private String choose(List<String> servers, OngoingRequest ongoing) {
        if (servers.isEmpty()) {
            return null;
        }
        return servers.get(
                selectsBySubject
                        ? Math.floorMod(ongoing.subject.hashCode() * 31, servers.size())
                        : Math.floorMod(nextTurn++, servers.size()));
    }

    private int pendingRequests(String server) {
        return links.getOrDefault(server, List.of()).stream()
                .mapToInt(link -> link.pending.size())
                .sum();
    }

    private record Pending(OngoingRequest ongoing, Attempt attempt) {}

    /** A connection to a server; requests sent before it is established are queued in {@code unsent}. */
    private final class Link extends SimpleChannelInboundHandler<String> {
        private final String server;
        private final Map<Long, Pending> pending = new HashMap<>();
        private final List<OngoingRequest> unsent = new ArrayList<>();
        private Channel channel;
        private boolean closing;
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
                        protected void initChannel(Channel created) {
                            created.pipeline()
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
                    removeLink();
                    // a refused connection proves that no request ran
                    List.copyOf(unsent).forEach(ongoing -> ongoing.handleRefusal(server, false));
                }
            });
        }

        private void removeLink() {
            closing = true;
            links.get(server).remove(this);
        }

        void send(OngoingRequest ongoing) {
            if (channel == null) {
                unsent.add(ongoing);
                return;
            }
            long nowMillis = System.currentTimeMillis();
            long id = ++lastId;
            String txn = String.format("%04x%012x", number + 1, ++lastTxn);
            Attempt attempt =
                    new Attempt(ongoing.request, server, txn, nowMillis, nowMillis + ongoing.remainingMillis());
            pending.put(id, new Pending(ongoing, attempt));
            closing |= id >= maxRequestsPerLink;
            checker.recordAttempt(attempt);
            String body = Base64.getEncoder()
                    .encodeToString(
                            ("work " + ongoing.request.work + " " + ongoing.subject).getBytes(StandardCharsets.UTF_8));
            JSONObject params = new JSONObject()
                    .put("txn", txn)
                    .put("door", nowMillis)
                    .put("lb", number)
                    .put("team", Sites.tenant(random))
                    .put("limit", ongoing.remainingMillis())
                    .put("cpu", ongoing.request.work)
                    .put("ram", 24.5)
                    .put("standing", 0.5)
                    .put("blob", body);
            params.put(ongoing.request.key == null ? "item" : "unique", ongoing.subject);
            channel.writeAndFlush(new JSONObject()
                            .put("jsonrpc", "2.0")
                            .put("id", id)
                            .put("method", ongoing.request.kind.name())
                            .put("params", params)
                    + "\n");
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            List.copyOf(unsent).forEach(this::send);
            unsent.clear();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            JSONObject message = new JSONObject(line);
            if (message.optString("method").equals("lastCall")) {
                closing = true;
                closeIfDone();
                return;
            }
            Pending pendingRequest = pending.remove(message.optLong("id"));
            if (pendingRequest == null) {
                checker.recordUnmatchedResponse(server, line);
                return;
            }
            long nowMillis = System.currentTimeMillis();
            checker.recordResponse(pendingRequest.attempt, nowMillis);
            JSONObject error = message.optJSONObject("error");
            JSONObject feedback =
                    error == null ? message.getJSONObject("result") : error.optJSONObject("data", new JSONObject());
            if (feedback.has("feedback")) {
                feedbackLimits.put(server, feedback.getDouble("feedback"));
            }
            if (feedback.has("later")) {
                retryNotBeforeMillis.put(server, nowMillis + feedback.getLong("later"));
            }
            if (error == null) {
                checker.recordOutcome(pendingRequest.ongoing.request, "served", nowMillis);
            } else if (error.getInt("code") == -32066) {
                pendingRequest.ongoing.handleRefusal(server, feedback.has("giveup"));
            } else {
                checker.recordOutcome(pendingRequest.ongoing.request, "failed", nowMillis);
            }
            if (error != null && error.getInt("code") == -32066 && !feedback.has("later")) {
                checker.recordRefusalWithoutRetryTime();
            }
            closeIfDone();
        }

        private void closeIfDone() {
            if (closing && pending.isEmpty()) {
                links.get(server).remove(this);
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            removeLink();
            for (Pending pendingRequest : pending.values()) {
                long ageMillis = System.currentTimeMillis() - pendingRequest.attempt.sentAtMillis;
                boolean raced = ageMillis <= CLOSE_RACE_MS
                        && pendingRequest.ongoing.resends++ == 0
                        && !checker.isKilled(server);
                if (raced) {
                    pendingRequest.attempt.excused = true;
                    pendingRequest.ongoing.sendTo(server);
                    continue;
                }
                checker.recordBrokenConnection(pendingRequest.attempt);
                if (pendingRequest.ongoing.request.key == null) {
                    pendingRequest.ongoing.handleRefusal(server, false);
                } else {
                    // the request may have run at this server, and only this server can deduplicate it by its key
                    loop.schedule(() -> retryAtServer(pendingRequest.ongoing), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                }
            }
            pending.clear();
        }

        private void retryAtServer(OngoingRequest ongoing) {
            if (checker.isKilled(server) || ongoing.remainingMillis() < MIN_REMAINING_MS) {
                checker.recordOutcome(ongoing.request, "failed", System.currentTimeMillis());
            } else {
                ongoing.sendTo(server);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
