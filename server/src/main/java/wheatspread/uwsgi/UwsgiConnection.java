package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import wheatspread.core.Answer;
import wheatspread.core.InboundRequest;
import wheatspread.transport.Listener;
import wheatspread.transport.RequestChannelHandler;

/**
 * A uwsgi connection: reads packets, submits the requests to the core and writes the responses in the order of
 * the requests. Event loop only.
 */
final class UwsgiConnection extends RequestChannelHandler {
    /** The connection is not read while this many requests wait for their answers. */
    private static final int MAX_OPEN_REQUESTS = 32;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final UwsgiFront front;
    /** The pending responses as a linked list, in the order of their requests. */
    private PendingResponse firstPending;

    private PendingResponse lastPending;
    private int openRequests;
    /** The decoder of the request being received; null if no part of a request has been received. */
    private UwsgiDecoder decoder;
    /** Whether the server is draining; if so, the connection closes after the pending responses. */
    private boolean serverDraining;

    private boolean hasResponded;

    /** A response that is not written yet. */
    private static final class PendingResponse {
        /** The core's ticket; null until {@code submit} has returned, or if the request is not submitted. */
        private Long ticket;

        private boolean countedByBurstLimiter;
        /** The encoded response; null until the request is answered. */
        private ByteBuf bytes;

        private PendingResponse next;
    }

    UwsgiConnection(Listener listener, UwsgiFront front) {
        super(listener);
        this.front = front;
    }

    // ---- connection ----

    @Override
    protected int openRequests() {
        return openRequests;
    }

    @Override
    protected boolean acceptsMoreRequests() {
        return openRequests < MAX_OPEN_REQUESTS;
    }

    @Override
    protected void clientDisconnected() {
        PendingResponse pending = firstPending;
        firstPending = null;
        lastPending = null;
        openRequests = 0;
        for (; pending != null; pending = pending.next) {
            if (pending.bytes != null) {
                pending.bytes.release();
            } else {
                requestEnded(pending.countedByBurstLimiter, Answer.Kind.FAILED);
                front.core().cancel(pending.ticket);
            }
        }
    }

    @Override
    public void notifyDraining() {
        serverDraining = true;
        runAfterNextReads(this::drainIfIdle); // a request may wait in the socket
    }

    /**
     * Drains the connection if it is idle and the server is draining. uwsgi cannot announce draining, so a
     * client that connects during the drain still gets its first response.
     */
    private void drainIfIdle() {
        if (serverDraining && hasResponded && openRequests == 0 && !hasPartialMessage() && !hasUnreadInput()) {
            drain();
        }
    }

    /** Reads whole requests up to the limit of open requests; further bytes are left in {@code bytes}. */
    @Override
    protected int readMessages(ByteBuf bytes) {
        int requests = 0;
        while (bytes.isReadable() && mayReadMessage()) {
            if (decoder == null) {
                decoder = new UwsgiDecoder(
                        front.wantedVars(),
                        front.config().maxVarsBytes(),
                        front.config().maxBodyBytes());
            }
            Object message = decoder.decode(bytes);
            if (message == null) {
                break;
            }
            requests++;
            countMessage();
            PendingResponse pending = addPending();
            if (message instanceof UwsgiDecoder.Malformed malformed) {
                bytes.skipBytes(bytes.readableBytes());
                countMalformedMessage();
                String status = malformed.tooLarge() ? "413 Content Too Large" : "400 Bad Request";
                drain();
                respond(pending, status, text(malformed.problem()), "");
            } else {
                handleRequest(pending, (UwsgiDecoder.Request) message);
            }
            if (pending.bytes != null) {
                countImmediateAnswer();
            }
        }
        if (!bytes.isReadable()) {
            decoder = null;
        }
        return requests;
    }

    private PendingResponse addPending() {
        PendingResponse pending = new PendingResponse();
        openRequests++;
        if (lastPending == null) {
            firstPending = pending;
        } else {
            lastPending.next = pending;
        }
        lastPending = pending;
        return pending;
    }

    // ---- requests ----

    private void handleRequest(PendingResponse pending, UwsgiDecoder.Request request) {
        Map<String, String> vars = request.packet().vars();
        if (request.packet().modifier1() == UwsgiPacket.PING_MODIFIER) {
            ByteBuf pong = ctx.alloc().buffer(UwsgiPacket.HEADER_BYTES);
            UwsgiEncoder.write(
                    new UwsgiPacket(UwsgiPacket.PING_MODIFIER, front.core().healthy() ? 1 : 0, Map.of()), pong);
            pending.bytes = pong;
            writeReadyResponses();
        } else if (!front.config().healthPath().isEmpty()
                && front.config().healthPath().equals(VarsReader.path(vars))) {
            boolean healthy = front.core().healthy();
            respond(pending, healthy ? "200 OK" : "503 Service Unavailable", text(healthy ? "well" : "ill"), "");
        } else {
            try {
                InboundRequest inbound = front.varsReader()
                        .read(vars, request.body(), front.clock().nowMicros());
                if (rejectIfBurst(front.core(), inbound.requestClass(), answer -> respond(pending, answer))) {
                    return;
                }
                pending.countedByBurstLimiter = isCountedByBurstLimiter();
                pending.ticket = front.core().submit(inbound, answer -> complete(pending, answer));
            } catch (InvalidVarException e) {
                countMalformedMessage();
                respond(pending, "400 Bad Request", text(e.getMessage()), "");
            }
        }
    }

    private void complete(PendingResponse pending, Answer answer) {
        requestEnded(pending.countedByBurstLimiter, answer.kind());
        respond(pending, answer);
    }

    private void respond(PendingResponse pending, Answer answer) {
        String feedback = Double.isNaN(answer.loadFeedback())
                ? ""
                : UwsgiWireNames.LOAD_FEEDBACK_HEADER + ": " + answer.loadFeedback() + "\r\n";
        switch (answer.kind()) {
            case SERVED -> respond(pending, "200 OK", answer.body(), feedback);
            case REJECTED ->
                respond(
                        pending,
                        "503 Service Unavailable",
                        text("refused"),
                        feedback
                                + UwsgiWireNames.RETRY_AFTER_HEADER + ": "
                                + retryAfterSeconds(answer.retryAfterMicros()) + "\r\n"
                                + (answer.doNotRetry() ? UwsgiWireNames.DO_NOT_RETRY_HEADER + ": 1\r\n" : ""));
            case DEADLINE_EXCEEDED -> respond(pending, "504 Gateway Timeout", text("out of time"), feedback);
            case CONFLICT -> respond(pending, "409 Conflict", text("key has another body"), feedback);
            default -> respond(pending, "500 Internal Server Error", text("failed"), feedback);
        }
    }

    /** Rounds up to whole seconds, at least 1, because a rejected client must not retry immediately. */
    private static long retryAfterSeconds(long retryAfterMicros) {
        return Math.max(1, (retryAfterMicros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND);
    }

    private static byte[] text(String line) {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void respond(PendingResponse pending, String status, byte[] body, String headers) {
        boolean lastResponse = isDraining() || serverDraining;
        byte[] header = ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n" + headers
                        + (lastResponse ? "Connection: close\r\n" : "") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        ByteBuf response = ctx.alloc().buffer(header.length + body.length);
        pending.bytes = response.writeBytes(header).writeBytes(body);
        writeReadyResponses();
    }

    /** Writes the pending responses in order, up to the first request that is not answered yet. */
    private void writeReadyResponses() {
        while (firstPending != null && firstPending.bytes != null) {
            ctx.write(firstPending.bytes, ctx.voidPromise());
            firstPending = firstPending.next;
            lastPending = firstPending == null ? null : lastPending;
            openRequests--;
            hasResponded = true;
        }
        flushUnlessReading();
        answerWritten();
        drainIfIdle();
    }
}
