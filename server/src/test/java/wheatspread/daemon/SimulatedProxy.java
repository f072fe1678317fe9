package wheatspread.daemon;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.json.JSONObject;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/** Simulates a proxy that sends each request over both protocols, and describes both outcomes in the same words. */
final class SimulatedProxy implements AutoCloseable {
    private static final Map<Integer, String> STATUSES =
            Map.of(200, "served", 503, "refused", 500, "failed", 504, "out of time", 400, "malformed", 409, "conflict");
    private static final Map<Integer, String> CODES =
            Map.of(-32066, "refused", -32000, "failed", -32001, "out of time", -32602, "malformed", -32002, "conflict");

    private final ServerFixture fixture;
    private final TestConnection jsonrpc;
    private final TestConnection uwsgi;
    /** The bodies of the requests since the last {@link #clearRequests}, in the order of sending. */
    private final List<String> requestBodies = new ArrayList<>();

    /** The request bodies by JSON-RPC id. */
    private final Map<String, String> bodiesById = new LinkedHashMap<>();

    private int lastId;

    SimulatedProxy(ServerFixture fixture) throws IOException {
        this.fixture = fixture;
        jsonrpc = TestConnection.connect(fixture.jsonrpc);
        uwsgi = TestConnection.connect(fixture.uwsgi);
    }

    /** Sends a request over both protocols; {@code idempotencyKey} is null in classes without keys. */
    void sendRequest(String requestClass, String tenant, int limitMs, String idempotencyKey, String body)
            throws IOException {
        requestBodies.add(body);
        int id = ++lastId;
        bodiesById.put(Integer.toString(id), body);
        JSONObject params = new JSONObject()
                .put("txn", String.format("%016x", id))
                .put("door", fixture.clock().nowMicros() / 1000)
                .put("lb", 1)
                .put("team", tenant)
                .put("limit", limitMs)
                .put("ram", 20)
                .put("standing", 0.5)
                .putOpt("unique", idempotencyKey)
                .put("blob", SimulatedKernel.encode(body));
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("PATH_INFO", "/");
        vars.put("RECIPE_CLASS", requestClass);
        vars.put("RECIPE_TENANT", tenant);
        vars.put("RECIPE_LIMIT_MS", Integer.toString(limitMs));
        vars.put("CONTENT_LENGTH", Integer.toString(body.length()));
        if (idempotencyKey != null) {
            vars.put("RECIPE_UNIQUE", idempotencyKey);
        }
        ByteBuf packet = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
        packet.writeBytes(body.getBytes(StandardCharsets.UTF_8));
        uwsgi.write(ByteBufUtil.getBytes(packet));
        jsonrpc.writeLine(new JSONObject()
                .put("jsonrpc", "2.0")
                .put("id", id)
                .put("method", requestClass)
                .put("params", params)
                .toString());
    }

    /** Reads the JSON-RPC answers to all requests since {@link #clearRequests}; returns the outcomes by body. */
    Map<String, String> readJsonRpcOutcomes() throws IOException {
        Map<String, String> outcomes = new TreeMap<>();
        for (int remaining = requestBodies.size(); remaining > 0; remaining--) {
            JSONObject answer = new JSONObject(jsonrpc.readLine());
            if (answer.optString("method").equals("lastCall")) {
                answer = new JSONObject(jsonrpc.readLine());
            }
            JSONObject error = answer.optJSONObject("error");
            String outcome = error == null
                    ? "served "
                            + SimulatedKernel.decode(
                                    answer.getJSONObject("result").getString("blob"))
                    : CODES.get(error.getInt("code"));
            outcomes.put(bodiesById.get(answer.get("id").toString()), outcome);
        }
        return outcomes;
    }

    /** Reads the uwsgi responses, which have the order of the requests; returns the outcomes by body. */
    Map<String, String> readUwsgiOutcomes() throws IOException {
        Map<String, String> outcomes = new TreeMap<>();
        for (String body : requestBodies) {
            int status = Integer.parseInt(uwsgi.readLine().split(" ")[1]);
            int length = 0;
            boolean hasRetryAfter = false;
            for (String header = uwsgi.readLine(); !header.isEmpty(); header = uwsgi.readLine()) {
                hasRetryAfter |= header.startsWith("Retry-After: ");
                if (header.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(header.substring(16));
                }
            }
            String text = new String(uwsgi.readBytes(length), StandardCharsets.UTF_8);
            String outcome = STATUSES.get(status) + (status == 200 ? " " + text : "");
            outcomes.put(body, hasRetryAfter == (status == 503) ? outcome : "wrong Retry-After with " + outcome);
        }
        return outcomes;
    }

    void clearRequests() {
        requestBodies.clear();
    }

    @Override
    public void close() throws IOException {
        jsonrpc.close();
        uwsgi.close();
    }
}
