package wheatspread.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.json.JSONObject;
import wheatspread.config.JsonFields;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.logging.EventLog;

/** A server with a {@link ManualClock}, and simulated services and clients on ephemeral ports. */
final class ServerFixture implements AutoCloseable {
    volatile ServerSocket kernelSocket = socket(0);
    volatile ServerSocket records = socket(0);
    private volatile ServerSocket announce = socket(0);
    private volatile TestConnection announceConnection;
    private volatile boolean closed;
    private volatile String lastAnnouncement = "";
    /** Whether announcements are recorded but not answered. */
    volatile boolean announceUnanswered;
    /** The received announcements, without consecutive repetitions. */
    final BlockingQueue<String> announced = new LinkedBlockingQueue<>();

    final BlockingQueue<String> logged = new LinkedBlockingQueue<>();
    final Server server;
    final InetSocketAddress uwsgi;
    final InetSocketAddress jsonrpc;
    private final TestConnection healthCheckConnection;
    private final Consumer<JSONObject> configurationOverrides;
    private ManualClock clock;

    ServerFixture() throws IOException {
        this("{}", "nio");
    }

    /** Starts a server; {@code operatorOverrides} replaces single keys of the operator's file. */
    ServerFixture(String operatorOverrides, String transport) throws IOException {
        this(operatorOverrides, transport, configuration -> {});
    }

    /** Starts a server; {@code configurationOverrides} changes the platform's settings of every start and reload. */
    ServerFixture(String operatorOverrides, String transport, Consumer<JSONObject> configurationOverrides)
            throws IOException {
        this.configurationOverrides = configurationOverrides;
        ServerConfig config = ServerConfig.read(JsonFields.of(configuration().toMap(), ""));
        JSONObject json = new JSONObject(Files.readString(Path.of("src/test/resources/operator.json")));
        JSONObject overrides = new JSONObject(operatorOverrides).put("transport", transport);
        JSONObject uwsgiOverrides = overrides.optJSONObject("uwsgi", new JSONObject());
        uwsgiOverrides.keySet().forEach(key -> json.getJSONObject("uwsgi").put(key, uwsgiOverrides.get(key)));
        overrides.keySet().stream()
                .filter(key -> !key.equals("uwsgi"))
                .forEach(key -> json.put(key, overrides.get(key)));
        Path file = Files.writeString(Files.createTempFile("operator", ".json"), json.toString());
        OperatorConfig operator = OperatorConfig.readFile(file, config.site());
        Files.delete(file);
        Thread thread = new Thread(this::serveAnnouncements, "simulated announce service");
        thread.setDaemon(true);
        thread.start();
        server = new Server(
                config, operator, (loop, scheduler) -> clock = new ManualClock(loop), EventLog.lines(logged::add));
        server.start();
        uwsgi = server.boundAddresses().get(0);
        jsonrpc = server.boundAddresses().get(1);
        healthCheckConnection = TestConnection.connect(jsonrpc);
        clock.setRoundTrip(this::checkHealth);
    }

    private JSONObject configuration() throws IOException {
        JSONObject json = new JSONObject(Files.readString(Path.of("src/test/resources/config.json")))
                .put("kernel", "127.0.0.1:" + kernelSocket.getLocalPort())
                .put("records", "127.0.0.1:" + records.getLocalPort())
                .put("announce", "127.0.0.1:" + announce.getLocalPort())
                .put("control", "127.0.0.1:0");
        configurationOverrides.accept(json);
        return json;
    }

    /**
     * Reloads the configuration. With an empty key all services get new addresses, and the old addresses refuse
     * connections. With the key {@code late} the new address of the kernel refuses connections, too, until
     * {@link #startService}. Any other key is set to {@code value}.
     */
    void reload(String key, String value) throws IOException {
        JSONObject json = configuration();
        if (key.isEmpty() || key.equals("late")) {
            kernelSocket.close();
            records.close();
            announce.close();
            kernelSocket = socket(0);
            records = socket(0);
            announce = socket(0);
            lastAnnouncement = "";
            json = configuration();
            if (key.equals("late")) {
                kernelSocket.close();
            }
        } else {
            json.put(key, value);
        }
        applyReload(json);
    }

    /** Reloads the configuration with the same addresses and changed settings. */
    void reloadSettings(Consumer<JSONObject> change) throws IOException {
        JSONObject json = configuration();
        change.accept(json.getJSONObject("settings"));
        applyReload(json);
    }

    private void applyReload(JSONObject json) {
        JsonFields fields = JsonFields.of(json.toMap(), "");
        server.reload(() -> ServerConfig.read(fields));
    }

    /** Waits up to 10 s between log lines for a line that contains {@code text}; removes all lines up to it. */
    void awaitLogged(String text) throws InterruptedException {
        for (String line = logged.poll(10, TimeUnit.SECONDS); line != null; line = logged.poll(10, TimeUnit.SECONDS)) {
            if (line.contains(text)) {
                return;
            }
        }
        throw new AssertionError("expected a log line with \"" + text + "\", found none; no further line within 10 s");
    }

    boolean isClosed() {
        return closed;
    }

    /** Sends a health check on a separate connection, and waits for its answer. */
    private void checkHealth() {
        try {
            healthCheckConnection.writeLine("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}");
            String line = healthCheckConnection.readLine();
            while (line != null && line.contains("lastCall")) {
                line = healthCheckConnection.readLine();
            }
        } catch (IOException e) {
            return; // the server has closed the connection, so no input is pending
        }
    }

    private static ServerSocket socket(int port) throws IOException {
        ServerSocket socket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(10_000);
        return socket;
    }

    ManualClock clock() {
        return clock;
    }

    private void serveAnnouncements() {
        while (!closed) {
            try (TestConnection connection = new TestConnection(announce.accept())) {
                announceConnection = connection;
                for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                    int length = 0;
                    for (String header = connection.readLine(); !header.isEmpty(); header = connection.readLine()) {
                        if (header.toLowerCase().startsWith("content-length:")) {
                            length = Integer.parseInt(header.substring(15).trim());
                        }
                    }
                    String announcement = line + " " + new String(connection.readBytes(length), StandardCharsets.UTF_8);
                    if (!announceUnanswered) {
                        connection.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                    }
                    if (!announcement.equals(lastAnnouncement)) {
                        announced.add(announcement);
                    }
                    lastAnnouncement = announcement;
                }
            } catch (IOException e) {
                lastAnnouncement = ""; // the connection or the fixture was closed
            }
        }
    }

    /** Stops the records or the announce service; its address refuses connections. */
    void stopService(String service) throws IOException {
        (service.equals("records") ? records : announce).close();
    }

    /** Starts a stopped service at the same address. */
    void startService(String service) throws IOException {
        if (service.equals("records")) {
            records = socket(records.getLocalPort());
        } else if (service.equals("kernel")) {
            kernelSocket = socket(kernelSocket.getLocalPort());
        } else {
            announce = socket(announce.getLocalPort());
        }
    }

    void closeAnnounceConnection() throws IOException {
        announceConnection.close();
    }

    String nextAnnounced() throws InterruptedException {
        return announced.poll(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        healthCheckConnection.close();
        server.kill();
        kernelSocket.close();
        records.close();
        announce.close();
    }
}
