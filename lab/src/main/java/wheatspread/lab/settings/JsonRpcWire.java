package wheatspread.lab.settings;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.json.JSONObject;

/** Encodes requests for the JSON-RPC 2.0 front, one message per line. */
final class JsonRpcWire implements LoadClients.Wire {
    private static final int MAX_LINE_BYTES = 1 << 16;
    private static final int REJECTED_CODE = -32066;
    private static final double REQUEST_RAM_KB = 24.5;

    /** A request that a server answers at once, independent of its load. */
    static final String CHECK = "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"check\"}\n";

    private final double runMillis;

    /** {@code runMillis} is the processor time that each request states as its need. */
    JsonRpcWire(double runMillis) {
        this.runMillis = runMillis;
    }

    @Override
    public void decodeInto(Channel channel) {
        channel.pipeline()
                .addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), new StringDecoder(StandardCharsets.UTF_8));
    }

    @Override
    public ByteBuf greeting() {
        return Unpooled.copiedBuffer(CHECK, StandardCharsets.US_ASCII);
    }

    @Override
    public ByteBuf encode(LoadClients.Request request) {
        String number = Long.toString(request.number());
        String body = Base64.getEncoder().encodeToString(number.getBytes(StandardCharsets.US_ASCII));
        JSONObject params = new JSONObject()
                .put("txn", String.format("%016x", request.number()))
                .put("door", System.currentTimeMillis())
                .put("lb", 1)
                .put("team", request.tenant())
                .put("limit", request.kind().deadlineMillis())
                .put("cpu", runMillis)
                .put("ram", REQUEST_RAM_KB)
                .put("standing", 0.5)
                .put(request.kind().keyed() ? "unique" : "item", "r" + number)
                .put("blob", body);
        JSONObject message = new JSONObject()
                .put("jsonrpc", "2.0")
                .put("id", request.number())
                .put("method", request.kind().name())
                .put("params", params);
        return Unpooled.copiedBuffer(message + "\n", StandardCharsets.UTF_8);
    }

    @Override
    public long requestNumber(Object message) {
        return new JSONObject((String) message).optLong("id");
    }

    @Override
    public LoadClients.Outcome outcome(Object message) {
        JSONObject answer = new JSONObject((String) message);
        if (answer.optLong("id") == 0) {
            return LoadClients.Outcome.NONE; // the answer to a greeting, or a notification
        }
        JSONObject error = answer.optJSONObject("error");
        if (error == null) {
            return LoadClients.Outcome.SERVED;
        }
        return error.optInt("code") == REJECTED_CODE ? LoadClients.Outcome.REFUSED : LoadClients.Outcome.FAILED;
    }
}
