package wheatspread.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONParserConfiguration;
import wheatspread.core.Answer;
import wheatspread.core.InboundRequest;
import wheatspread.logging.EventLog;
import wheatspread.transport.Listener;
import wheatspread.transport.RequestChannelHandler;

/** A JSON-RPC connection: reads lines, submits the requests to the core and writes the answers. Event loop only. */
final class RpcConnection extends RequestChannelHandler {
    /** Without strict mode the parser accepts unquoted names and ignores text after the object. */
    private static final JSONParserConfiguration STRICT_PARSING = new JSONParserConfiguration().withStrictMode(true);

    private static final int MAX_OPEN_REQUESTS = 32;
    private static final long MICROS_PER_MILLI = 1_000;
    /** The JSON text used in answers to messages whose id is missing or neither a number nor a string. */
    private static final String NULL_ID = "null";

    private final RpcFront front;
    /**
     * The newest open request, which is the head of a linked list. The list has at most {@value #MAX_OPEN_REQUESTS}
     * entries, so it needs no index.
     */
    private OpenRequest newest;

    private int openRequests;

    /** A request that is not answered yet. */
    private static final class OpenRequest {
        /** The JSON text of the request's id. */
        private final String id;

        private final String attemptId;
        private final boolean countedByBurstLimiter;
        private OpenRequest older;
        /** The core's ticket; null until {@code submit} has returned. */
        private Long ticket;

        OpenRequest(String id, String attemptId, boolean countedByBurstLimiter, OpenRequest older) {
            this.id = id;
            this.attemptId = attemptId;
            this.countedByBurstLimiter = countedByBurstLimiter;
            this.older = older;
        }
    }

    RpcConnection(Listener listener, RpcFront front) {
        super(listener);
        this.front = front;
    }

    // ---- connection ----

    @Override
    protected int openRequests() {
        return openRequests;
    }

    @Override
    protected void clientDisconnected() {
        for (OpenRequest request = newest; request != null; request = request.older) {
            requestEnded(request.countedByBurstLimiter, Answer.Kind.FAILED);
            front.core().cancel(request.ticket);
        }
        newest = null;
        openRequests = 0;
    }

    /**
     * Rejects the queued requests and lets the running requests finish. A client cancels a request by a message, so
     * running requests are not cancelled when the client shuts its output. Writing the draining notification twice
     * detects a client that has closed the connection completely: its operating system answers the first write with a
     * reset, and the second write fails.
     */
    @Override
    protected void clientOutputShutDown() {
        notifyDraining();
        front.clock().schedule(RpcFront.HALF_CLOSE_REMINDER_MICROS, () -> {
            if (openRequests > 0) {
                notifyDraining();
            }
        });
        for (OpenRequest request = newest; request != null; request = request.older) {
            front.core().rejectUnlessStarted(request.ticket);
        }
    }

    @Override
    public void notifyDraining() {
        write("{\"jsonrpc\":\"2.0\",\"method\":\"" + RpcWireNames.CONNECTION_DRAINING + "\"}\n");
    }

    /** Reads whole lines; a partial line is left in {@code bytes}. */
    @Override
    protected int readMessages(ByteBuf bytes) {
        int lines = 0;
        while (bytes.isReadable() && mayReadMessage()) {
            int length = bytes.bytesBefore((byte) '\n');
            if ((length < 0 ? bytes.readableBytes() : length) > RpcFront.MAX_LINE_BYTES) {
                String message = "line over " + RpcFront.MAX_LINE_BYTES + " bytes";
                writeError(NULL_ID, RpcWireNames.PARSE_ERROR, message, null);
                bytes.skipBytes(bytes.readableBytes()); // the remainder of the line may be arbitrarily long
                drain();
                return lines;
            }
            if (length < 0) {
                return lines;
            }
            int end = length > 0 && bytes.getByte(bytes.readerIndex() + length - 1) == '\r' ? length - 1 : length;
            String line = bytes.toString(bytes.readerIndex(), end, StandardCharsets.UTF_8);
            bytes.skipBytes(length + 1);
            lines++;
            countMessage();
            handleLine(line);
        }
        return lines;
    }

    private void write(String line) {
        write(ByteBufUtil.writeUtf8(ctx.alloc(), line));
    }

    private OpenRequest find(String id) {
        OpenRequest request = newest;
        while (request != null && !request.id.equals(id)) {
            request = request.older;
        }
        return request;
    }

    /** Removes a request from the list of open requests; does nothing if it is not in the list. */
    private void remove(OpenRequest ended) {
        OpenRequest newer = null;
        OpenRequest request = newest;
        while (request != null && request != ended) {
            newer = request;
            request = request.older;
        }
        if (request == null) {
            return;
        }
        if (newer == null) {
            newest = request.older;
        } else {
            newer.older = request.older;
        }
        openRequests--;
    }

    // ---- requests ----

    private void handleLine(String line) {
        long openBefore = openRequests;
        answerOrSubmit(line);
        if (openRequests <= openBefore) {
            countImmediateAnswer();
        }
    }

    private void answerOrSubmit(String line) {
        JSONObject message;
        try {
            message = new JSONObject(line, STRICT_PARSING);
        } catch (JSONException | StackOverflowError e) {
            writeError(NULL_ID, RpcWireNames.PARSE_ERROR, "not a JSON object", null);
            return;
        }
        Object rawId = message.opt(RpcWireNames.ID);
        boolean hasValidId = rawId instanceof Number || rawId instanceof String;
        String id = hasValidId ? JSONObject.valueToString(rawId) : NULL_ID;
        JSONObject params = message.optJSONObject(RpcWireNames.PARAMS);
        if (!(message.opt(RpcWireNames.METHOD) instanceof String method)) {
            writeError(id, RpcWireNames.INVALID_REQUEST, "method is missing or not a string", null);
        } else if (method.equals(RpcWireNames.HEALTH_CHECK)) {
            handleHealthCheck(id);
        } else if (method.equals(RpcWireNames.STATS) && front.statsEnabled()) {
            handleStats(id);
        } else if (method.equals(RpcWireNames.CANCEL)) {
            handleCancel(message, params);
        } else if (!front.requestReader().isRequestClass(method)) {
            writeError(id, RpcWireNames.METHOD_NOT_FOUND, "no such method", null);
        } else if (id.equals(NULL_ID) || find(id) != null) {
            writeError(NULL_ID, RpcWireNames.INVALID_REQUEST, "id is missing or in use", null);
        } else if (params == null) {
            writeError(id, RpcWireNames.INVALID_PARAMS, "params is missing or not an object", null);
        } else {
            handleOrFail(id, method, params);
        }
    }

    /** Handles a request. If that throws, the request fails, so that its client knows; the connection then drains. */
    private void handleOrFail(String id, String method, JSONObject params) {
        try {
            handleRequest(id, method, params);
        } catch (RuntimeException | StackOverflowError e) {
            OpenRequest failed = find(id);
            if (failed != null) {
                remove(failed);
                requestEnded(failed.countedByBurstLimiter, Answer.Kind.FAILED);
            }
            writeError(id, RpcWireNames.FAILED, "failed", null);
            throw e;
        }
    }

    private void handleRequest(String id, String method, JSONObject params) {
        if (openRequests >= MAX_OPEN_REQUESTS) {
            String message = "over " + MAX_OPEN_REQUESTS + " requests are open here";
            writeError(id, RpcWireNames.REJECTED, message, new JSONObject());
            return;
        }
        try {
            InboundRequest inbound =
                    front.requestReader().read(method, params, front.clock().nowMicros());
            if (rejectIfBurst(front.core(), inbound.requestClass(), answer -> writeAnswer(id, answer))) {
                return;
            }
            OpenRequest request = new OpenRequest(id, inbound.job(), isCountedByBurstLimiter(), newest);
            newest = request;
            openRequests++;
            request.ticket = front.core().submit(inbound, answer -> complete(request, answer));
        } catch (InvalidParameterException e) {
            writeError(id, RpcWireNames.INVALID_PARAMS, e.getMessage(), null);
        }
    }

    private void complete(OpenRequest request, Answer answer) {
        remove(request);
        requestEnded(request.countedByBurstLimiter, answer.kind());
        writeAnswer(request.id, answer);
        answerWritten();
    }

    private void writeAnswer(String id, Answer answer) {
        JSONObject data = new JSONObject();
        addFeedback(data, answer.loadFeedback());
        switch (answer.kind()) {
            case SERVED ->
                writeResult(id, data.put(RpcWireNames.BODY, Base64.getEncoder().encodeToString(answer.body())));
            case REJECTED -> {
                if (answer.retryAfterMicros() > 0) {
                    long retryAfterMs = Math.max(1, answer.retryAfterMicros() / MICROS_PER_MILLI);
                    data.put(RpcWireNames.RETRY_AFTER_MS, retryAfterMs);
                }
                if (answer.doNotRetry()) {
                    data.put(RpcWireNames.DO_NOT_RETRY, 1);
                }
                writeError(id, RpcWireNames.REJECTED, "refused: this try never ran", data);
            }
            case DEADLINE_EXCEEDED -> writeError(id, RpcWireNames.DEADLINE_EXCEEDED, "out of time", data);
            case CONFLICT -> writeError(id, RpcWireNames.CONFLICT, "txn is in use, or unique has another body", data);
            default -> writeError(id, RpcWireNames.FAILED, "failed", data);
        }
    }

    private void handleHealthCheck(String id) {
        JSONObject result =
                new JSONObject().put(RpcWireNames.HEALTHY, front.core().healthy());
        addFeedback(result, front.core().loadFeedback());
        writeResult(id, result);
    }

    private void handleStats(String id) {
        JSONObject result = new JSONObject()
                .put(RpcWireNames.HEALTHY, front.core().healthy())
                .put(RpcWireNames.LIFECYCLE_PHASE, front.lifecyclePhase())
                .put(RpcWireNames.OPEN_REQUESTS, front.core().unansweredCount())
                .put(RpcWireNames.WARM_IN_MS, front.core().warmUpRemainingMicros() / MICROS_PER_MILLI);
        EventLog.map(front.core().counters().logFields()).forEach(result::put);
        writeResult(id, result);
    }

    /**
     * Cancels an open request. The client's notification identifies the request by its JSON-RPC id, as in
     * {@code "params":{"id":55}}, or by its attempt id. The protocol does not specify which of the two the client
     * sends, so both are accepted. Unknown ids are ignored.
     */
    private void handleCancel(JSONObject message, JSONObject params) {
        Object attemptId = params == null ? null : params.opt(RpcWireNames.ATTEMPT_ID);
        Object id = params == null || params.opt(RpcWireNames.ID) == null
                ? message.opt(RpcWireNames.ID)
                : params.opt(RpcWireNames.ID);
        OpenRequest cancelled = id == null ? null : find(JSONObject.valueToString(id));
        for (OpenRequest request = newest; request != null; request = request.older) {
            cancelled = request.attemptId.equals(attemptId) ? request : cancelled;
        }
        if (cancelled != null) {
            remove(cancelled);
            requestEnded(cancelled.countedByBurstLimiter, Answer.Kind.FAILED);
            front.core().cancel(cancelled.ticket);
        }
    }

    private static void addFeedback(JSONObject target, double feedback) {
        if (!Double.isNaN(feedback)) {
            target.put(RpcWireNames.LOAD_FEEDBACK, feedback);
        }
    }

    private void writeResult(String id, JSONObject result) {
        write("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":" + result + "}\n");
    }

    private void writeError(String id, int code, String message, JSONObject data) {
        if (code <= RpcWireNames.INVALID_REQUEST) { // the protocol's own codes, of messages that are no requests
            countMalformedMessage();
        }
        JSONObject error = new JSONObject().put(RpcWireNames.ERROR_CODE, code).put(RpcWireNames.ERROR_MESSAGE, message);
        error.putOpt(RpcWireNames.ERROR_DATA, data);
        write("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"error\":" + error + "}\n");
    }
}
