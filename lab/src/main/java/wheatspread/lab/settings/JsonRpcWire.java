package wheatspread.lab.settings;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.json.JSONObject;

/** The platform's front: JSON-RPC 2.0, a message a line. */
final class JsonRpcWire implements LoadClients.Wire {
    private static final int LONGEST_LINE = 1 << 16;
    private static final int REFUSED = -32066;
    private static final double RAM_KB = 24.5;

    /** A request that a server answers at once, whatever it has in hand. */
    static final String CHECK = "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"check\"}\n";

    private final double runMillis;

    /** {@code runMillis} is what requests say of the processor time that they need. */
    JsonRpcWire(double runMillis) {
        this.runMillis = runMillis;
    }

    @Override
    public void decodeInto(Channel channel) {
        channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE), new StringDecoder(StandardCharsets.UTF_8));
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
                .put("limit", request.kind().deadline())
                .put("cpu", runMillis)
                .put("ram", RAM_KB)
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
    public long answers(Object message) {
        return new JSONObject((String) message).optLong("id");
    }

    @Override
    public LoadClients.Outcome outcome(Object message) {
        JSONObject told = new JSONObject((String) message);
        if (told.optLong("id") == 0) {
            return LoadClients.Outcome.NONE; // a greeting's, or a notification
        }
        JSONObject error = told.optJSONObject("error");
        if (error == null) {
            return LoadClients.Outcome.SERVED;
        }
        return error.optInt("code") == REFUSED ? LoadClients.Outcome.REFUSED : LoadClients.Outcome.FAILED;
    }
}
