package wheatspread.lab.deployments;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.json.JSONObject;
import wheatspread.config.JsonFields;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.daemon.Server;
import wheatspread.lab.deployments.RuleChecker.Try;
import wheatspread.lifecycle.Lifecycle.Phase;
import wheatspread.logging.EventLog;

/**
 * Starts one server of a deployment on real sockets, on a clock that the run moves on, plays a light load, a
 * crowd, repeats and a notice to leave against it, and has each rule judged. The same every time.
 */
public final class DeploymentRun implements AutoCloseable {
    private static final long START = 1_700_000_000_000_000L;
    private static final long SECOND = 1_000_000;
    private static final long LIGHT_UNTIL = 2 * SECOND;
    private static final long CROWD_UNTIL = 5 * SECOND / 2;
    private static final long NOTICE = 5 * SECOND;
    private static final long LAST_REQUEST = 8 * SECOND;
    private static final long STOP_TIMEOUT = 4 * SECOND;
    private static final int MAX_OPEN_REQUESTS = 32;
    private static final int QUIET_ROUNDS = 4;
    private static final int ACCEPT_TIMEOUT_MS = 10_000;

    /** What a demand for a field would make of a configuration or of a request's parameters: for tests. */
    public record Planted(UnaryOperator<JSONObject> config, UnaryOperator<JSONObject> params) {
        public static final Planted NONE = new Planted(told -> told, told -> told);
    }

    private final Deployment deployment;
    private final Planted planted;
    private final SplittableRandom random;
    private final RuleChecker judge;
    private final SimulatedKernel kernel;
    private final RequestGenerator requests;
    private final EventQueue events = new EventQueue();
    private final HealthCheck healthCheck = new HealthCheck();
    private final List<ClientConnection> clients = new ArrayList<>();
    private final List<LineConnection> recordsCalls = new ArrayList<>();
    private ServerSocketChannel records;
    private LineConnection kernelLink;
    private SteppedClock clock;
    private Server server;
    private long now = START;

    /** A proxy's connection, with the tries that are open on it by their ids. */
    private static final class ClientConnection {
        final LineConnection lines;
        final Map<Integer, String> open = new HashMap<>();
        int lastId;
        boolean lastCall;

        ClientConnection(LineConnection lines) {
            this.lines = lines;
        }
    }

    /** A run of a deployment; {@code planted} is the fault that the run is to find, if any. */
    public DeploymentRun(Deployment deployment, long seed, Planted planted) {
        this.deployment = deployment;
        this.planted = planted;
        random = new SplittableRandom(seed);
        requests = new RequestGenerator(deployment, random);
        judge = new RuleChecker(deployment);
        kernel = new SimulatedKernel(
                deployment, judge, START + LIGHT_UNTIL, this::after, text -> kernelLink.write(text));
    }

    /** Plays it and returns the rules that were broken; empty where all held. */
    public List<String> play() throws IOException {
        try (ServerSocket kernels = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            records = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
            records.configureBlocking(false);
            JSONObject told = planted.config.apply(deployment.config(
                    "127.0.0.1:" + kernels.getLocalPort(),
                    "127.0.0.1:" + records.socket().getLocalPort(),
                    "127.0.0.1:9"));
            try {
                ServerConfig config = ServerConfig.read(JsonFields.of(told.toMap(), ""));
                server = new Server(
                        config,
                        OperatorConfig.DEFAULT,
                        (loop, turns) -> clock = new SteppedClock(loop, START),
                        EventLog.NONE);
            } catch (IllegalArgumentException e) {
                judge.broken("no start: " + e.getMessage());
                return judge.broken;
            }
            server.start();
            kernels.setSoTimeout(ACCEPT_TIMEOUT_MS);
            kernelLink = new LineConnection(kernels.accept());
            healthCheck.await(server.boundAddresses().get(0));
            plan();
            run();
        }
        judge.end(now);
        return judge.broken;
    }

    // ---- what is asked ----

    private void plan() {
        int asked = 3 * deployment.cores;
        long gap = Math.max(30_000, 400_000 / deployment.cores);
        for (long at = SECOND / 5; at < LIGHT_UNTIL; at += gap) {
            events.add(START + at, () -> request(true));
        }
        for (int i = 0; i < Math.min(120, 12 * asked); i++) {
            events.add(START + LIGHT_UNTIL + random.nextLong(CROWD_UNTIL - LIGHT_UNTIL), () -> request(false));
        }
        for (long at = CROWD_UNTIL; at < LAST_REQUEST; at += 2 * gap) {
            events.add(START + at, () -> request(false));
        }
        events.add(START + NOTICE, () -> {
            judge.notice(now);
            server.drain();
        });
    }

    private void request(boolean light) {
        RequestGenerator.Drawn drawn = requests.draw(now, light);
        ClientConnection client = client();
        if (client == null) {
            return; // refused: it proves that nothing ran
        }
        requests.sent(drawn);
        Try request = drawn.request();
        int id = ++client.lastId;
        JSONObject params = requests.params(drawn);
        judge.written(request);
        client.open.put(id, request.txn);
        JSONObject message = new JSONObject()
                .put("jsonrpc", "2.0")
                .put("id", id)
                .put("method", request.kind.name())
                .put("params", planted.params.apply(params));
        client.lines.write(message + "\n");
        if (deployment.tellsGone && !light && random.nextInt(8) == 0) {
            after(10_000 + random.nextLong(request.kind.deadline() * 500), () -> interrupt(client, id, request));
        }
    }

    private void interrupt(ClientConnection client, int id, Try request) {
        if (request.answer == null) {
            request.gone = true;
            client.lines.write("{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":" + id + "}}\n");
            kernel.gone(request.txn);
        }
    }

    /** A connection that takes another request, or a new one; null if the server takes no connection. */
    private ClientConnection client() {
        for (ClientConnection client : clients) {
            if (!client.lastCall && client.open.size() < MAX_OPEN_REQUESTS && random.nextInt(3) > 0) {
                return client;
            }
        }
        try {
            InetSocketAddress to = server.boundAddresses().get(0);
            SocketChannel channel = SocketChannel.open(new InetSocketAddress(to.getAddress(), to.getPort()));
            ClientConnection client = new ClientConnection(new LineConnection(channel.socket()));
            clients.add(client);
            return client;
        } catch (IOException e) {
            return null;
        }
    }

    // ---- time ----

    private void after(long micros, Runnable task) {
        events.add(now + micros, task);
    }

    private void run() throws IOException {
        long end = START + NOTICE + STOP_TIMEOUT + SECOND;
        settle();
        while (now < end && server.phase() != Phase.STOPPED) {
            long next = Math.min(clock.next(), events.next());
            now = Math.max(now, Math.min(next, end));
            kernel.at(now, START);
            clock.to(now);
            events.runDue(now);
            settle();
        }
        if (server.phase() != Phase.STOPPED) {
            judge.broken("drain: the server has not left by its stop");
        }
    }

    /** Reads and carries out all that comes until nothing more does. */
    private void settle() throws IOException {
        for (int quiet = 0; quiet < QUIET_ROUNDS; quiet++) {
            healthCheck.await(server.boundAddresses().get(0));
            clock.idle();
            if (pump()) {
                quiet = -1;
            }
        }
    }

    /** Carries out what has come on all connections; whether there was anything. */
    private boolean pump() throws IOException {
        boolean some = false;
        for (String line : kernelLink.lines()) {
            some = true;
            kernel.command(new JSONObject(line));
        }
        some |= pumpRecords();
        for (ClientConnection client : List.copyOf(clients)) {
            some |= pump(client);
        }
        return some;
    }

    private boolean pumpRecords() throws IOException {
        for (SocketChannel call = records.accept(); call != null; call = records.accept()) {
            recordsCalls.add(new LineConnection(call.socket()));
        }
        boolean some = false;
        for (LineConnection call : List.copyOf(recordsCalls)) {
            for (String line : call.lines()) {
                some = true;
                String[] words = line.trim().split(" ");
                if (words[0].equals("OP")) {
                    kernel.called(words[1], call::write);
                }
            }
        }
        return some;
    }

    private boolean pump(ClientConnection client) {
        boolean some = false;
        for (String line : client.lines.lines()) {
            some = true;
            answer(client, new JSONObject(line));
        }
        if (!client.open.isEmpty() && client.lines.hasEnded()) {
            // what crossed the end is sent again, anything older is lost
            client.lines.closeQuietly();
            client.open.values().forEach(txn -> judge.crossed(txn, now));
            client.open.clear();
            clients.remove(client);
        }
        return some;
    }

    private void answer(ClientConnection client, JSONObject message) {
        if (message.optString("method").equals("lastCall")) {
            client.lastCall = true;
            return;
        }
        String txn = client.open.remove(message.optInt("id"));
        if (txn == null) {
            judge.broken("duplicate: an answer to nothing open: " + message);
        } else {
            judge.answered(txn, message, now);
            kernel.gone(txn);
        }
    }

    /** Ends the server; one that does not leave by itself is told to until it does. */
    @Override
    public void close() throws IOException {
        for (ClientConnection client : clients) {
            client.lines.close();
        }
        if (kernelLink != null) {
            kernelLink.close();
        }
        healthCheck.close();
        for (LineConnection call : recordsCalls) {
            call.close();
        }
        if (records != null) {
            records.close();
        }
        if (server != null && server.phase() == Phase.STOPPED) {
            try {
                server.awaitStopped();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
