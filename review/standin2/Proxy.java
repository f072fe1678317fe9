package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.json.JSONObject;

/** One connection of a proxy, by PROTOCOL "Proxies to recipe servers". */
final class Proxy implements AutoCloseable {
    private final Socket socket = new Socket();
    private final Record record;
    private final boolean quiet;
    private final Map<Integer, CompletableFuture<JSONObject>> open = new ConcurrentHashMap<>();
    private int lastId;
    private volatile boolean ended;

    Proxy(InetSocketAddress server, Record record, boolean quiet) throws IOException {
        this.record = record;
        this.quiet = quiet;
        socket.connect(server, 5_000);
        socket.setTcpNoDelay(true);
        Kernel.daemon(this::read).start();
    }

    /** Waits until a health check is answered with {@code "well":true}. */
    static void awaitHealthy(InetSocketAddress server, Record record, long millis) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            try (Proxy check = new Proxy(server, record, true)) {
                JSONObject answer = check.send("check", null).get(2, TimeUnit.SECONDS);
                JSONObject result = answer.optJSONObject("result");
                if (result != null && result.optBoolean("well")) {
                    record.line("health check of " + server + " is good");
                    return;
                }
            } catch (IOException | TimeoutException | java.util.concurrent.ExecutionException e) {
                // not yet
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new CannotRunException("no good health check of " + server + " after " + millis + " ms");
    }

    static String hex(int digits) {
        StringBuilder text = new StringBuilder();
        while (text.length() < digits) {
            text.append(String.format("%016x", ThreadLocalRandom.current().nextLong()));
        }
        return text.substring(0, digits);
    }

    /** Returns the fields that every request carries; the caller adds {@code unique} or {@code item}. */
    static JSONObject params(String team, long limit, byte[] body) {
        return new JSONObject()
                .put("txn", hex(16))
                .put("door", System.currentTimeMillis())
                .put("lb", 1)
                .put("team", team)
                .put("limit", limit)
                .put("cpu", 280.0)
                .put("ram", 24.5)
                .put("standing", 0.5)
                .put("blob", Base64.getEncoder().encodeToString(body));
    }

    /** Sends a request; the future gets the answer, or fails when the connection ends without one. */
    synchronized CompletableFuture<JSONObject> send(String method, JSONObject params) throws IOException {
        if (ended) {
            throw new IOException("the server has ended the connection");
        }
        int id = ++lastId;
        CompletableFuture<JSONObject> answer = new CompletableFuture<>();
        open.put(id, answer);
        JSONObject message =
                new JSONObject().put("jsonrpc", "2.0").put("id", id).put("method", method).putOpt("params", params);
        if (!quiet) {
            record.line("proxy > " + brief(message.toString()));
        }
        socket.getOutputStream().write((message + "\n").getBytes(StandardCharsets.UTF_8));
        return answer;
    }

    /** Returns whether the server has ended the connection, which it may do while no request is open. */
    boolean ended() {
        return ended;
    }

    private void read() {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!quiet) {
                    record.line("proxy < " + brief(line));
                }
                JSONObject message = new JSONObject(line);
                CompletableFuture<JSONObject> answer = open.remove(message.optInt("id"));
                if (answer != null) {
                    answer.complete(message);
                }
            }
            fail(new IOException("the server ended the connection"));
        } catch (IOException e) {
            fail(e);
        }
    }

    private synchronized void fail(IOException cause) {
        ended = true;
        if (!open.isEmpty() && !quiet) {
            record.line("proxy: connection ended (" + cause.getMessage() + ") with requests open: " + open.keySet());
        }
        open.values().forEach(answer -> answer.completeExceptionally(cause));
    }

    private static String brief(String line) {
        return line.length() <= 400 ? line : line.substring(0, 400) + "...";
    }

    /** Returns the body of a served answer; null if it is none. */
    static String served(JSONObject answer) {
        JSONObject result = answer.optJSONObject("result");
        return result == null
                ? null
                : new String(Base64.getDecoder().decode(result.getString("blob")), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
