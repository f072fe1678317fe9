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

/** A server with the clock of a test, and the parties round it on ephemeral ports. */
final class Stage implements AutoCloseable {
    volatile ServerSocket kernels = socket(0);
    volatile ServerSocket records = socket(0);
    private volatile ServerSocket announce = socket(0);
    private volatile Wire announcing;
    private volatile boolean closed;
    private volatile String last = "";
    /** Reports count, but get no answer. */
    volatile boolean mute;
    /** What was announced, repeats left out. */
    final BlockingQueue<String> announced = new LinkedBlockingQueue<>();

    final BlockingQueue<String> logged = new LinkedBlockingQueue<>();
    final Server server;
    final InetSocketAddress uwsgi;
    final InetSocketAddress jsonrpc;
    private final Wire asking;
    private ManualClock clock;

    Stage() throws IOException {
        this("{}", "nio");
    }

    /** {@code over} goes over the operator's file, key by key. */
    Stage(String over, String transport) throws IOException {
        ServerConfig config = ServerConfig.read(JsonFields.of(configuration().toMap(), ""));
        JSONObject told = new JSONObject(Files.readString(Path.of("src/test/resources/operator.json")));
        JSONObject more = new JSONObject(over).put("transport", transport);
        JSONObject uwsgiOver = more.optJSONObject("uwsgi", new JSONObject());
        uwsgiOver.keySet().forEach(key -> told.getJSONObject("uwsgi").put(key, uwsgiOver.get(key)));
        more.keySet().stream().filter(key -> !key.equals("uwsgi")).forEach(key -> told.put(key, more.get(key)));
        Path file = Files.writeString(Files.createTempFile("operator", ".json"), told.toString());
        OperatorConfig front = OperatorConfig.readFile(file, config.site());
        Files.delete(file);
        Thread thread = new Thread(this::hearAnnouncements, "announce stand-in");
        thread.setDaemon(true);
        thread.start();
        server = new Server(config, front, (loop, turns) -> clock = new ManualClock(loop), EventLog.lines(logged::add));
        server.start();
        uwsgi = server.bound().get(0);
        jsonrpc = server.bound().get(1);
        asking = Wire.to(jsonrpc);
        clock.settleWith(this::roundTrip);
    }

    private JSONObject configuration() throws IOException {
        return new JSONObject(Files.readString(Path.of("src/test/resources/config.json")))
                .put("kernel", "127.0.0.1:" + kernels.getLocalPort())
                .put("records", "127.0.0.1:" + records.getLocalPort())
                .put("announce", "127.0.0.1:" + announce.getLocalPort())
                .put("control", "127.0.0.1:0");
    }

    /**
     * A configuration with new addresses, the old ones refusing (with {@code late}, the new kernel's refuses
     * too until it is {@link #up}); or one with a key changed to a value.
     */
    void reload(String key, String value) throws IOException {
        JSONObject told = configuration();
        if (key.isEmpty() || key.equals("late")) {
            kernels.close();
            records.close();
            announce.close();
            kernels = socket(0);
            records = socket(0);
            announce = socket(0);
            last = "";
            told = configuration();
            if (key.equals("late")) {
                kernels.close();
            }
        } else {
            told.put(key, value);
        }
        read(told);
    }

    /** The same addresses, with settings that are changed so. */
    void retune(Consumer<JSONObject> change) throws IOException {
        JSONObject told = configuration();
        change.accept(told.getJSONObject("settings"));
        read(told);
    }

    private void read(JSONObject told) {
        JsonFields fields = JsonFields.of(told.toMap(), "");
        server.reload(() -> ServerConfig.read(fields));
    }

    /** Waits for a line of the log with this text, those before it dropped; 10 s at most. */
    void awaitLogged(String text) throws InterruptedException {
        for (String line = logged.poll(10, TimeUnit.SECONDS); line != null; line = logged.poll(10, TimeUnit.SECONDS)) {
            if (line.contains(text)) {
                return;
            }
        }
        throw new AssertionError("no log line with " + text);
    }

    boolean isClosed() {
        return closed;
    }

    /** A health check, on a connection of its own as the protocol has it. */
    private void roundTrip() {
        try {
            asking.line("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}");
            String line = asking.line();
            while (line != null && line.contains("lastCall")) {
                line = asking.line();
            }
        } catch (IOException e) {
            return; // the server has closed: there is nothing left to settle
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

    private void hearAnnouncements() {
        while (!closed) {
            try (Wire wire = new Wire(announce.accept())) {
                announcing = wire;
                for (String line = wire.line(); line != null; line = wire.line()) {
                    int length = 0;
                    for (String header = wire.line(); !header.isEmpty(); header = wire.line()) {
                        if (header.toLowerCase().startsWith("content-length:")) {
                            length = Integer.parseInt(header.substring(15).trim());
                        }
                    }
                    String report = line + " " + new String(wire.bytes(length), StandardCharsets.UTF_8);
                    if (!mute) {
                        wire.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                    }
                    if (!report.equals(last)) {
                        announced.add(report);
                    }
                    last = report;
                }
            } catch (IOException e) {
                last = ""; // the connection ended, or the stage did
            }
        }
    }

    /** A service goes down: connections are refused. */
    void down(String service) throws IOException {
        (service.equals("records") ? records : announce).close();
    }

    /** It comes back at the same address. */
    void up(String service) throws IOException {
        if (service.equals("records")) {
            records = socket(records.getLocalPort());
        } else if (service.equals("kernel")) {
            kernels = socket(kernels.getLocalPort());
        } else {
            announce = socket(announce.getLocalPort());
        }
    }

    void cutAnnounce() throws IOException {
        announcing.close();
    }

    String nextAnnounced() throws InterruptedException {
        return announced.poll(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        asking.close();
        server.kill();
        kernels.close();
        records.close();
        announce.close();
    }
}
