package wheatspread.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONParserConfiguration;
import wheatspread.core.Answer;
import wheatspread.logging.EventLog;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Listener;

/** One proxy's connection: reads JSON-RPC lines, hands tries to the core and writes their answers. */
final class RpcConnection extends ClientChannelHandler {
    static final int REFUSED = -32066;
    static final int FAILED = -32000;
    static final int OUT_OF_TIME = -32001;
    static final int CONFLICT = -32002;
    /** Else the parser takes names without quotes, and does not see what follows the object. */
    private static final JSONParserConfiguration STRICT = new JSONParserConfiguration().withStrictMode(true);

    private static final int PARSE_ERROR = -32700;
    private static final int INVALID_REQUEST = -32600;
    private static final int METHOD_NOT_FOUND = -32601;
    private static final int INVALID_PARAMS = -32602;
    private static final int MOST_OPEN = 32;

    private final RpcFront front;
    /** The open requests, the newest first; there are too few to need an index. */
    private Open newest;

    private int open;

    /** A request without an answer yet; the ticket is null until the core has taken it. */
    private static final class Open {
        /** The text of its JSON-RPC id. */
        final String id;

        final String txn;
        final boolean ofCrowd;
        Long ticket;
        Open older;

        Open(String id, String txn, boolean ofCrowd) {
            this.id = id;
            this.txn = txn;
            this.ofCrowd = ofCrowd;
        }
    }

    RpcConnection(Listener listener, RpcFront front) {
        super(listener);
        this.front = front;
    }

    // ---- the connection ----

    @Override
    protected int open() {
        return open;
    }

    @Override
    protected void gone() {
        for (Open one = newest; one != null; one = one.older) {
            over(one.ofCrowd, Answer.Kind.FAILED);
            front.core.gone(one.ticket);
        }
        newest = null;
        open = 0;
    }

    /**
     * A proxy that stops waiting sends {@code interrupt}; the end of its stream alone takes back nothing that
     * it asked for, so what runs is answered, and what has not begun is refused at once. Whether anybody
     * still reads shows when something is written: a caller that has closed altogether resets the connection,
     * and the write behind that fails.
     */
    @Override
    protected void inputEnded() {
        lastCall();
        front.clock.after(RpcFront.HALF_CLOSED_LOOK, () -> {
            if (open > 0) {
                lastCall();
            }
        });
        for (Open one = newest; one != null; one = one.older) {
            front.core.refuseUnlessBegun(one.ticket);
        }
    }

    @Override
    public void lastCall() {
        write("{\"jsonrpc\":\"2.0\",\"method\":\"lastCall\"}\n");
    }

    /** Takes lines; what is left is the beginning of one. */
    @Override
    protected int read(ByteBuf bytes) {
        int lines = 0;
        while (!leaving()) {
            int length = bytes.bytesBefore((byte) '\n');
            if ((length < 0 ? bytes.readableBytes() : length) > RpcFront.LONGEST_LINE) {
                error("null", PARSE_ERROR, "line over " + RpcFront.LONGEST_LINE + " bytes", null);
                leave(); // the rest may be 60 MB, and nobody means them
                return lines;
            }
            if (length < 0) {
                return lines;
            }
            int end = length > 0 && bytes.getByte(bytes.readerIndex() + length - 1) == '\r' ? length - 1 : length;
            String line = bytes.toString(bytes.readerIndex(), end, StandardCharsets.UTF_8);
            bytes.skipBytes(length + 1);
            lines++;
            line(line);
        }
        return lines;
    }

    private void write(String line) {
        write(ByteBufUtil.writeUtf8(ctx.alloc(), line));
    }

    private Open find(String id) {
        Open one = newest;
        while (one != null && !one.id.equals(id)) {
            one = one.older;
        }
        return one;
    }

    private void remove(Open gone) {
        Open younger = null;
        Open one = newest;
        while (one != null && one != gone) {
            younger = one;
            one = one.older;
        }
        if (one == null) {
            return;
        }
        if (younger == null) {
            newest = one.older;
        } else {
            younger.older = one.older;
        }
        open--;
    }

    // ---- requests ----

    private void line(String line) {
        JSONObject message;
        try {
            message = new JSONObject(line, STRICT);
        } catch (JSONException | StackOverflowError e) {
            error("null", PARSE_ERROR, "not a JSON object", null);
            return;
        }
        Object given = message.opt("id");
        boolean readable = given instanceof Number || given instanceof String;
        String id = readable ? JSONObject.valueToString(given) : "null";
        JSONObject params = message.optJSONObject("params");
        if (!(message.opt("method") instanceof String method)) {
            error(id, INVALID_REQUEST, "method is missing or not a string", null);
        } else if (method.equals("check")) {
            check(id);
        } else if (method.equals("stats") && front.phase != null) {
            stats(id);
        } else if (method.equals("interrupt")) {
            interrupt(message, params);
        } else if (!front.reader.knows(method)) {
            error(id, METHOD_NOT_FOUND, "no such method", null);
        } else if (id.equals("null") || find(id) != null) {
            error("null", INVALID_REQUEST, "id is missing or in use", null);
        } else if (params == null) {
            error(id, INVALID_PARAMS, "params is missing or not an object", null);
        } else {
            request(id, method, params);
        }
    }

    private void request(String id, String method, JSONObject params) {
        if (open >= MOST_OPEN) {
            error(id, REFUSED, "over " + MOST_OPEN + " requests are open here", new JSONObject());
            return;
        }
        try {
            var submission = front.reader.read(method, params, front.clock.nowMicros());
            if (turnedAway(front.core, submission.requestClass(), answer -> respond(id, answer))) {
                return;
            }
            Open one = new Open(id, submission.job(), ofCrowd());
            one.older = newest;
            newest = one;
            open++;
            one.ticket = front.core.submit(submission, answer -> answer(one, answer));
        } catch (RequestReader.BadParameter e) {
            error(id, INVALID_PARAMS, e.getMessage(), null);
        }
    }

    private void answer(Open one, Answer answer) {
        remove(one);
        over(one.ofCrowd, answer.kind());
        respond(one.id, answer);
        answered();
    }

    private void respond(String id, Answer answer) {
        JSONObject data = new JSONObject();
        addFeedback(data, answer.loadFeedback());
        switch (answer.kind()) {
            case SERVED -> result(id, data.put("blob", Base64.getEncoder().encodeToString(answer.body())));
            case REJECTED -> {
                if (answer.retryAfterMicros() > 0) {
                    data.put("later", Math.max(1, answer.retryAfterMicros() / 1000));
                }
                if (answer.doNotRetry()) {
                    data.put("giveup", 1);
                }
                error(id, REFUSED, "refused: this try never ran", data);
            }
            case DEADLINE_EXCEEDED -> error(id, OUT_OF_TIME, "out of time", data);
            case CONFLICT -> error(id, CONFLICT, "txn is in use, or unique has another body", data);
            default -> error(id, FAILED, "failed", data);
        }
    }

    private void check(String id) {
        JSONObject result = new JSONObject().put("well", front.core.well());
        addFeedback(result, front.core.feedback());
        result(id, result);
    }

    private void stats(String id) {
        JSONObject result = new JSONObject()
                .put("well", front.core.well())
                .put("phase", front.phase.get())
                .put("open", front.core.open())
                .put("warm_in_ms", front.core.warmIn() / 1000);
        EventLog.map(front.core.counts().fields()).forEach(result::put);
        result(id, result);
    }

    /**
     * A proxy names what it gave up by the id of the request, as a notification:
     * {@code "params":{"id":55}}. The txn, which the page on the protocol leaves open, is taken as well.
     */
    private void interrupt(JSONObject message, JSONObject params) {
        Object txn = params == null ? null : params.opt("txn");
        Object id = params == null || params.opt("id") == null ? message.opt("id") : params.opt("id");
        Open found = id == null ? null : find(JSONObject.valueToString(id));
        for (Open one = newest; one != null; one = one.older) {
            found = one.txn.equals(txn) ? one : found;
        }
        if (found != null) {
            remove(found);
            over(found.ofCrowd, Answer.Kind.FAILED);
            front.core.gone(found.ticket);
        }
    }

    private static void addFeedback(JSONObject to, double feedback) {
        if (!Double.isNaN(feedback)) {
            to.put("feedback", feedback);
        }
    }

    private void result(String id, JSONObject result) {
        write("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":" + result + "}\n");
    }

    private void error(String id, int code, String message, JSONObject data) {
        JSONObject error = new JSONObject().put("code", code).put("message", message);
        write("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"error\":" + error.putOpt("data", data) + "}\n");
    }
}
