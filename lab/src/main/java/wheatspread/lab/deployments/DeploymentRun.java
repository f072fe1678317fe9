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
import wheatspread.lab.deployments.RuleChecker.Attempt;
import wheatspread.lifecycle.Lifecycle.Phase;
import wheatspread.logging.EventLog;

/**
 * Runs one server of a deployment with real sockets and a clock that the run advances. Sends a light load, a burst,
 * retries and a notice to drain, and checks each rule. The same deployment and seed always give the same run.
 */
public final class DeploymentRun implements AutoCloseable {
    private static final long START_MICROS = 1_700_000_000_000_000L;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long LIGHT_LOAD_END_MICROS = 2 * SECOND_MICROS;
    private static final long BURST_END_MICROS = 5 * SECOND_MICROS / 2;
    private static final long DRAIN_NOTICE_MICROS = 5 * SECOND_MICROS;
    private static final long LAST_REQUEST_MICROS = 8 * SECOND_MICROS;
    private static final long STOP_TIMEOUT_MICROS = 4 * SECOND_MICROS;
    private static final int MAX_OPEN_REQUESTS = 32;
    private static final int QUIET_ROUNDS = 4;
    private static final int ACCEPT_TIMEOUT_MS = 10_000;

    /** Changes to the configuration and to the parameters of each request, with which tests inject a defect. */
    public record Mutation(UnaryOperator<JSONObject> config, UnaryOperator<JSONObject> params) {
        public static final Mutation NONE = new Mutation(config -> config, params -> params);
    }

    private final Deployment deployment;
    private final Mutation mutation;
    private final SplittableRandom random;
    private final RuleChecker checker;
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
    private long nowMicros = START_MICROS;

    /** A client's connection, with the unanswered attempts on it by their request ids. */
    private static final class ClientConnection {
        final LineConnection lines;
        final Map<Integer, String> openAttempts = new HashMap<>();
        int lastId;
        boolean closing;

        ClientConnection(LineConnection lines) {
            this.lines = lines;
        }
    }

    /** {@code mutation} injects the defect that the run is expected to find, if any. */
    public DeploymentRun(Deployment deployment, long seed, Mutation mutation) {
        this.deployment = deployment;
        this.mutation = mutation;
        random = new SplittableRandom(seed);
        requests = new RequestGenerator(deployment, random);
        checker = new RuleChecker(deployment);
        kernel = new SimulatedKernel(
                deployment,
                checker,
                START_MICROS + LIGHT_LOAD_END_MICROS,
                this::schedule,
                text -> kernelLink.write(text));
    }

    /** Runs the server until it stops; returns the violations of rules, empty if all rules held. */
    public List<String> run() throws IOException {
        try (ServerSocket kernels = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            records = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
            records.configureBlocking(false);
            JSONObject configJson = mutation.config.apply(deployment.config(
                    "127.0.0.1:" + kernels.getLocalPort(),
                    "127.0.0.1:" + records.socket().getLocalPort(),
                    "127.0.0.1:9"));
            try {
                ServerConfig config = ServerConfig.read(JsonFields.of(configJson.toMap(), ""));
                server = new Server(
                        config,
                        OperatorConfig.DEFAULT,
                        (loop, scheduler) -> clock = new SteppedClock(loop, START_MICROS),
                        EventLog.NONE);
            } catch (IllegalArgumentException e) {
                checker.addViolation("no start: " + e.getMessage());
                return checker.violations;
            }
            server.start();
            kernels.setSoTimeout(ACCEPT_TIMEOUT_MS);
            kernelLink = new LineConnection(kernels.accept());
            healthCheck.await(server.boundAddresses().get(0));
            scheduleLoad();
            runEvents();
        }
        checker.serverStopped(nowMicros);
        return checker.violations;
    }

    // ---- load ----

    private void scheduleLoad() {
        int lightRequests = 3 * deployment.cores;
        long gapMicros = Math.max(30_000, 400_000 / deployment.cores);
        for (long micros = SECOND_MICROS / 5; micros < LIGHT_LOAD_END_MICROS; micros += gapMicros) {
            events.add(START_MICROS + micros, () -> sendRequest(true));
        }
        for (int i = 0; i < Math.min(120, 12 * lightRequests); i++) {
            events.add(
                    START_MICROS + LIGHT_LOAD_END_MICROS + random.nextLong(BURST_END_MICROS - LIGHT_LOAD_END_MICROS),
                    () -> sendRequest(false));
        }
        for (long micros = BURST_END_MICROS; micros < LAST_REQUEST_MICROS; micros += 2 * gapMicros) {
            events.add(START_MICROS + micros, () -> sendRequest(false));
        }
        events.add(START_MICROS + DRAIN_NOTICE_MICROS, () -> {
            checker.drainNotified(nowMicros);
            server.drain();
        });
    }

    private void sendRequest(boolean light) {
        RequestGenerator.Drawn drawn = requests.draw(nowMicros, light);
        ClientConnection client = connection();
        if (client == null) {
            return; // The connection was refused, so the request cannot have run.
        }
        requests.markSent(drawn);
        Attempt attempt = drawn.attempt();
        int id = ++client.lastId;
        JSONObject params = requests.params(drawn);
        checker.requestSent(attempt);
        client.openAttempts.put(id, attempt.txn);
        JSONObject message = new JSONObject()
                .put("jsonrpc", "2.0")
                .put("id", id)
                .put("method", attempt.requestClass.name())
                .put("params", mutation.params.apply(params));
        client.lines.write(message + "\n");
        if (deployment.cancelsRequests && !light && random.nextInt(8) == 0) {
            schedule(
                    10_000 + random.nextLong(attempt.requestClass.deadlineMillis() * 500),
                    () -> cancel(client, id, attempt));
        }
    }

    private void cancel(ClientConnection client, int id, Attempt attempt) {
        if (attempt.answer == null) {
            attempt.cancelled = true;
            client.lines.write("{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":" + id + "}}\n");
            kernel.requestEnded(attempt.txn);
        }
    }

    /**
     * Returns an open connection with room for another request, or a new one; null if the server refuses connections.
     */
    private ClientConnection connection() {
        for (ClientConnection client : clients) {
            if (!client.closing && client.openAttempts.size() < MAX_OPEN_REQUESTS && random.nextInt(3) > 0) {
                return client;
            }
        }
        try {
            InetSocketAddress address = server.boundAddresses().get(0);
            SocketChannel channel = SocketChannel.open(new InetSocketAddress(address.getAddress(), address.getPort()));
            ClientConnection client = new ClientConnection(new LineConnection(channel.socket()));
            clients.add(client);
            return client;
        } catch (IOException e) {
            return null;
        }
    }

    // ---- clock and events ----

    private void schedule(long micros, Runnable task) {
        events.add(nowMicros + micros, task);
    }

    private void runEvents() throws IOException {
        long endMicros = START_MICROS + DRAIN_NOTICE_MICROS + STOP_TIMEOUT_MICROS + SECOND_MICROS;
        settle();
        while (nowMicros < endMicros && server.phase() != Phase.STOPPED) {
            long nextMicros = Math.min(clock.nextMicros(), events.nextMicros());
            nowMicros = Math.max(nowMicros, Math.min(nextMicros, endMicros));
            kernel.advanceTo(nowMicros, START_MICROS);
            clock.advanceTo(nowMicros);
            events.runDue(nowMicros);
            settle();
        }
        if (server.phase() != Phase.STOPPED) {
            checker.addViolation("drain: the server did not stop within the stop timeout");
        }
    }

    /** Processes all messages on all connections until no connection has any for {@link #QUIET_ROUNDS} rounds. */
    private void settle() throws IOException {
        for (int quiet = 0; quiet < QUIET_ROUNDS; quiet++) {
            healthCheck.await(server.boundAddresses().get(0));
            clock.awaitLoop();
            if (processMessages()) {
                quiet = -1;
            }
        }
    }

    /** Processes the received messages of all connections; returns whether there were any. */
    private boolean processMessages() throws IOException {
        boolean anyMessage = false;
        for (String line : kernelLink.readLines()) {
            anyMessage = true;
            kernel.execute(new JSONObject(line));
        }
        anyMessage |= processRecordsMessages();
        for (ClientConnection client : List.copyOf(clients)) {
            anyMessage |= processMessages(client);
        }
        return anyMessage;
    }

    private boolean processRecordsMessages() throws IOException {
        for (SocketChannel call = records.accept(); call != null; call = records.accept()) {
            recordsCalls.add(new LineConnection(call.socket()));
        }
        boolean anyMessage = false;
        for (LineConnection call : List.copyOf(recordsCalls)) {
            for (String line : call.readLines()) {
                anyMessage = true;
                String[] words = line.trim().split(" ");
                if (words[0].equals("OP")) {
                    kernel.dependencyCalled(words[1], call::write);
                }
            }
        }
        return anyMessage;
    }

    private boolean processMessages(ClientConnection client) {
        boolean anyMessage = false;
        for (String line : client.lines.readLines()) {
            anyMessage = true;
            answer(client, new JSONObject(line));
        }
        if (!client.openAttempts.isEmpty() && client.lines.isClosedByPeer()) {
            // The client repeats requests that it sent while the server was closing the connection; a connection that
            // ends with older requests has lost them.
            client.lines.closeQuietly();
            client.openAttempts.values().forEach(txn -> checker.connectionEnded(txn, nowMicros));
            client.openAttempts.clear();
            clients.remove(client);
        }
        return anyMessage;
    }

    private void answer(ClientConnection client, JSONObject message) {
        if (message.optString("method").equals("lastCall")) {
            client.closing = true;
            return;
        }
        String txn = client.openAttempts.remove(message.optInt("id"));
        if (txn == null) {
            checker.addViolation("duplicate: an answer to no open request: " + message);
        } else {
            checker.answered(txn, message, nowMicros);
            kernel.requestEnded(txn);
        }
    }

    /** Closes all connections; waits for the server's thread to end if the server has stopped. */
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
