import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for a proxy, by the page Protocol: one connection, with at most 32 open requests. */
final class Proxy implements AutoCloseable {
    private static final AtomicLong NUMBERS = new AtomicLong();
    private final World world;
    private final Socket socket;
    private final OutputStream out;
    private final Map<Long, World.Try> open = new HashMap<>();
    private long lastId;
    private long pauseMillis;
    /** Unix milliseconds at which the server ended the connection; 0 before. */
    volatile long endedAt;

    /** Whether the server asked for no more requests on this connection. */
    private volatile boolean lastCall;

    Proxy(World world, int port) throws IOException {
        this.world = world;
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Services.thread(this::read);
    }

    /** Writes a try and returns it; {@code key} is null for classes without keys. */
    World.Try send(String kind, String key, byte[] body, long limit) throws IOException {
        return send(kind, key, body, limit, Long.toHexString(0xa000000000000000L + NUMBERS.incrementAndGet()));
    }

    /** Writes a try in two pieces, with a pause between them in which the proxy is silent. */
    World.Try sendInPieces(String kind, String key, byte[] body, long limit, long pauseMillis)
            throws IOException {
        this.pauseMillis = pauseMillis;
        try {
            return send(kind, key, body, limit);
        } finally {
            this.pauseMillis = 0;
        }
    }

    World.Try send(String kind, String key, byte[] body, long limit, String txn) throws IOException {
        World.Try attempt = new World.Try();
        attempt.txn = txn;
        attempt.key = key;
        attempt.kind = kind;
        attempt.body = body;
        attempt.limit = limit;
        attempt.door = World.now();
        byte[] line;
        synchronized (this) {
            long id = ++lastId;
            open.put(id, attempt);
            world.add(attempt);
            line = ("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + kind + "\",\"params\":{\"txn\":\"" + txn
                    + "\",\"door\":" + attempt.door + ",\"lb\":1,\"team\":\"main-site\",\"limit\":" + limit
                    + ",\"cpu\":100.0,\"ram\":20.5,\"standing\":0.5,"
                    + (key == null ? "" : "\"unique\":\"" + key + "\",") + "\"blob\":\"" + World.base64(body) + "\"}}\n")
                    .getBytes(StandardCharsets.UTF_8);
        }
        int first = pauseMillis > 0 ? line.length / 2 : line.length;
        out.write(line, 0, first);
        out.flush();
        if (pauseMillis > 0) {
            world.log("proxy > half of " + txn + ", then silent for " + pauseMillis + " ms");
            sleep(pauseMillis);
            out.write(line, first, line.length - first);
            out.flush();
        }
        attempt.written = World.now();
        world.log("proxy > " + kind + " " + txn + (key == null ? "" : " key " + key));
        return attempt;
    }

    private static void sleep(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Returns whether no more requests may be sent on this connection. */
    boolean closed() {
        return endedAt > 0 || lastCall;
    }

    synchronized int openRequests() {
        return open.size();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                World.Try attempt;
                if (line.contains("lastCall")) {
                    lastCall = true;
                }
                synchronized (this) {
                    attempt = open.remove(World.number(line, "id"));
                }
                if (attempt != null) {
                    String blob = World.text(line, "blob");
                    String answer = line.contains("\"result\"")
                            ? "served " + (blob.length() > 100 ? blob.substring(0, 100) : blob)
                            : "error " + World.number(line, "code");
                    synchronized (world) {
                        attempt.answers.add(answer);
                        attempt.answeredAt = attempt.answeredAt == 0 ? World.now() : attempt.answeredAt;
                    }
                    world.log("proxy < " + attempt.txn + " "
                            + (answer.length() > 90 ? answer.substring(0, 90) + "..." : answer));
                    world.over(attempt);
                }
            }
        } catch (IOException e) {
            // reset
        }
        world.log("proxy: the connection has ended with " + openRequests() + " open requests");
        endedAt = World.now();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
