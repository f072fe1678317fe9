package wheatspread.jsonrpc;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONParserConfiguration;
import wheatspread.core.Answer;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.sockets.Caller;
import wheatspread.sockets.Listener;

/** One proxy's connection: reads JSON-RPC lines, hands tries to the core and writes their answers. */
final class RpcConnection extends SimpleChannelInboundHandler<String> implements Caller {
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

    private final Listener listener;
    private final Core core;
    private final Clock clock;
    private final RequestReader reader;
    private final LineDecoder decoder;
    private final Consumer<String> log;
    /** Open requests by the text of their JSON-RPC id. */
    private final Map<String, Open> open = new HashMap<>();
    private ChannelHandlerContext ctx;
    private long usedAt;
    /** When the first byte came of a line whose end is missing; 0 if there is none. */
    private long midwaySince;
    private boolean asked;
    private boolean leaving;

    /** A request without an answer yet; the ticket is null until the core has taken it. */
    private static final class Open {
        final String txn;
        Long ticket;

        Open(String txn) {
            this.txn = txn;
        }
    }

    RpcConnection(Listener listener, Core core, Clock clock, RequestReader reader, LineDecoder decoder,
                  Consumer<String> log) {
        this.listener = listener;
        this.core = core;
        this.clock = clock;
        this.reader = reader;
        this.decoder = decoder;
        this.log = log;
    }

    // ---- the connection ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        usedAt = clock.now();
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.closed(this);
        open.values().forEach(one -> core.gone(one.ticket)); // nobody is left to hear an answer
        open.clear();
    }

    /** A proxy that does not read is not read from, or its answers would fill the memory. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(context.channel().isWritable() && !leaving);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            error("null", PARSE_ERROR, "line over " + RpcFront.LONGEST_LINE + " bytes", null);
            leave(); // the rest may be 60 MB, and nobody means them
            return;
        }
        if (!(cause instanceof IOException)) {
            log.accept("proxy connection: " + cause);
        }
        context.close();
    }

    @Override
    public void lastCall() {
        write("{\"jsonrpc\":\"2.0\",\"method\":\"lastCall\"}\n");
    }

    @Override
    public void closeIfIdleSince(long time) {
        if (open.isEmpty() && midwaySince == 0 && usedAt < time) {
            close();
        }
    }

    @Override
    public long idleSince() {
        return open.isEmpty() ? usedAt : Long.MAX_VALUE;
    }

    @Override
    public boolean asked() {
        return asked;
    }

    @Override
    public void closeIfMidwaySince(long time) {
        if (midwaySince > 0 && midwaySince < time) {
            leave();
        }
    }

    /** Reads nothing more, and closes once all that is open here is answered. */
    private void leave() {
        leaving = true;
        ctx.channel().config().setAutoRead(false);
        closeIfDone();
    }

    private void closeIfDone() {
        if (leaving && open.isEmpty()) {
            ctx.writeAndFlush("").addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        midwaySince = !decoder.midway() ? 0 : midwaySince > 0 ? midwaySince : clock.now();
        context.fireChannelReadComplete();
    }

    @Override
    public long waitingBytes() {
        return ctx.channel().bytesBeforeWritable();
    }

    @Override
    public void close() {
        ctx.close();
    }

    private void write(String line) {
        ctx.writeAndFlush(line, ctx.voidPromise());
    }

    // ---- requests ----

    @Override
    protected void channelRead0(ChannelHandlerContext context, String line) {
        if (leaving) {
            return;
        }
        usedAt = clock.now();
        midwaySince = 0;
        asked = true;
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
        } else if (method.equals("interrupt")) {
            interrupt(message, params);
        } else if (!reader.knows(method)) {
            error(id, METHOD_NOT_FOUND, "no such method", null);
        } else if (id.equals("null") || open.containsKey(id)) {
            error("null", INVALID_REQUEST, "id is missing or in use", null);
        } else if (params == null) {
            error(id, INVALID_PARAMS, "params is missing or not an object", null);
        } else {
            request(id, method, params);
        }
    }

    private void request(String id, String method, JSONObject params) {
        if (open.size() >= MOST_OPEN) {
            error(id, REFUSED, "over " + MOST_OPEN + " requests are open here", new JSONObject());
            return;
        }
        try {
            var submission = reader.read(method, params, clock.now());
            Open one = new Open(submission.job());
            open.put(id, one);
            one.ticket = core.submit(submission, answer -> answer(id, answer));
        } catch (RequestReader.BadParameter e) {
            error(id, INVALID_PARAMS, e.getMessage(), null);
        }
    }

    private void answer(String id, Answer answer) {
        open.remove(id);
        usedAt = clock.now();
        JSONObject data = new JSONObject();
        addFeedback(data, answer.feedback());
        switch (answer.kind()) {
            case SERVED -> result(id, data.put("blob", Base64.getEncoder().encodeToString(answer.body())));
            case REFUSED -> {
                if (answer.later() > 0) {
                    data.put("later", Math.max(1, answer.later() / 1000));
                }
                if (answer.last()) {
                    data.put("giveup", 1);
                }
                error(id, REFUSED, "refused: this try never ran", data);
            }
            case OUT_OF_TIME -> error(id, OUT_OF_TIME, "out of time", data);
            case CONFLICT -> error(id, CONFLICT, "txn is in use, or unique has another body", data);
            default -> error(id, FAILED, "failed", data);
        }
        closeIfDone();
    }

    private void check(String id) {
        JSONObject result = new JSONObject().put("well", core.well());
        addFeedback(result, core.feedback());
        result(id, result);
    }

    /**
     * A proxy names what it gave up by the id of the request, as a notification:
     * {@code "params":{"id":55}}. The txn, which the page on the protocol leaves open, is taken as well.
     */
    private void interrupt(JSONObject message, JSONObject params) {
        Object txn = params == null ? null : params.opt("txn");
        Object id = params == null || params.opt("id") == null ? message.opt("id") : params.opt("id");
        String found = id == null ? null : JSONObject.valueToString(id);
        for (Map.Entry<String, Open> entry : open.entrySet()) {
            if (entry.getValue().txn.equals(txn)) {
                found = entry.getKey();
            }
        }
        Open one = found == null ? null : open.remove(found);
        if (one != null) {
            core.gone(one.ticket);
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
