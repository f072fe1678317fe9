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

/** A small proxy that asks for the same over both protocols at once and tells the outcomes alike. */
final class StandInProxy implements AutoCloseable {
    private static final Map<Integer, String> STATUSES =
            Map.of(200, "served", 503, "refused", 500, "failed", 504, "out of time", 400, "malformed", 409, "conflict");
    private static final Map<Integer, String> CODES =
            Map.of(-32066, "refused", -32000, "failed", -32001, "out of time", -32602, "malformed", -32002, "conflict");

    private final ServerFixture fixture;
    private final TestConnection jsonrpc;
    private final TestConnection uwsgi;
    /** What is asked and not answered, in order; JSON-RPC answers name theirs. */
    private final List<String> asked = new ArrayList<>();

    private final Map<String, String> idNames = new LinkedHashMap<>();
    private int lastId;

    StandInProxy(ServerFixture fixture) throws IOException {
        this.fixture = fixture;
        jsonrpc = TestConnection.to(fixture.jsonrpc);
        uwsgi = TestConnection.to(fixture.uwsgi);
    }

    /** Asks over both; {@code unique} is null in classes without keys. */
    void ask(String kind, String tenant, int limitMs, String unique, String body) throws IOException {
        asked.add(body);
        int id = ++lastId;
        idNames.put(Integer.toString(id), body);
        JSONObject params = new JSONObject()
                .put("txn", String.format("%016x", id))
                .put("door", fixture.clock().nowMicros() / 1000)
                .put("lb", 1)
                .put("team", tenant)
                .put("limit", limitMs)
                .put("ram", 20)
                .put("standing", 0.5)
                .putOpt("unique", unique)
                .put("blob", StandInKernel.encode(body));
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("PATH_INFO", "/");
        vars.put("RECIPE_CLASS", kind);
        vars.put("RECIPE_TENANT", tenant);
        vars.put("RECIPE_LIMIT_MS", Integer.toString(limitMs));
        vars.put("CONTENT_LENGTH", Integer.toString(body.length()));
        if (unique != null) {
            vars.put("RECIPE_UNIQUE", unique);
        }
        ByteBuf packet = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
        packet.writeBytes(body.getBytes(StandardCharsets.UTF_8));
        uwsgi.write(ByteBufUtil.getBytes(packet));
        jsonrpc.line(new JSONObject()
                .put("jsonrpc", "2.0")
                .put("id", id)
                .put("method", kind)
                .put("params", params)
                .toString());
    }

    /** Reads the answers to all that was asked since: by body, what became of it over JSON-RPC. */
    Map<String, String> overJsonRpc() throws IOException {
        Map<String, String> outcomes = new TreeMap<>();
        for (int left = asked.size(); left > 0; left--) {
            JSONObject answer = new JSONObject(jsonrpc.line());
            if (answer.optString("method").equals("lastCall")) {
                answer = new JSONObject(jsonrpc.line());
            }
            JSONObject error = answer.optJSONObject("error");
            String outcome = error == null
                    ? "served "
                            + StandInKernel.decode(
                                    answer.getJSONObject("result").getString("blob"))
                    : CODES.get(error.getInt("code"));
            outcomes.put(idNames.get(answer.get("id").toString()), outcome);
        }
        return outcomes;
    }

    /** The same over uwsgi, whose responses come in the order of the requests. */
    Map<String, String> overUwsgi() throws IOException {
        Map<String, String> outcomes = new TreeMap<>();
        for (String body : asked) {
            int status = Integer.parseInt(uwsgi.line().split(" ")[1]);
            int length = 0;
            boolean later = false;
            for (String header = uwsgi.line(); !header.isEmpty(); header = uwsgi.line()) {
                later |= header.startsWith("Retry-After: ");
                if (header.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(header.substring(16));
                }
            }
            String text = new String(uwsgi.bytes(length), StandardCharsets.UTF_8);
            String outcome = STATUSES.get(status) + (status == 200 ? " " + text : "");
            outcomes.put(body, later == (status == 503) ? outcome : "wrong Retry-After with " + outcome);
        }
        return outcomes;
    }

    void forget() {
        asked.clear();
    }

    @Override
    public void close() throws IOException {
        jsonrpc.close();
        uwsgi.close();
    }
}
