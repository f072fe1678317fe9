package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
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

    private static final String BAD_REQUEST = "400 Bad Request";

    private final UwsgiFront front;
    /** The pending responses as a linked list, in the order of their requests. */
    private PendingResponse firstPending;

    private PendingResponse lastPending;
    private int openRequests;
    /** The decoder of the request being received; null if no part of a request has been received. */
    private UwsgiDecoder decoder;
    /** Whether the server is draining; if so, the connection drains once every request received is answered. */
    private boolean serverDraining;
    /** Whether {@link #drainUnlessMoreInput} will run after the next reads. */
    private boolean drainScheduled;

    private boolean hasResponded;

    /** A response that is not written yet. */
    private static final class PendingResponse {
        /** The core's ticket; null until {@code submit} has returned, or if the request is not submitted. */
        private Long ticket;

        private boolean countedByBurstLimiter;
        /** The response; null until the request is answered. */
        private UwsgiResponse response;

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
            if (pending.response == null) {
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
     * Drains the connection if it is idle. uwsgi cannot announce draining, so a client that connects during the drain
     * still gets its first response.
     */
    private void drainIfIdle() {
        if (hasResponded && openRequests == 0 && !hasMoreInput()) {
            drain();
        }
    }

    /**
     * Writes the deferred response. It is the last one, and the connection drains, unless a part of a further request
     * has been received; the drain then follows the response to that request.
     */
    private void drainUnlessMoreInput() {
        drainScheduled = false;
        if (firstPending != null && isDeferred(firstPending)) {
            if (hasMoreInput()) {
                writeFirstPending();
            } else {
                drain();
            }
        }
        writeReadyResponses();
    }

    private boolean hasMoreInput() {
        return hasPartialMessage() || hasUnreadInput();
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
                String status = malformed.tooLarge() ? "413 Content Too Large" : BAD_REQUEST;
                drain();
                respond(pending, HttpResponse.ofText(status, malformed.problem()));
            } else {
                handleOrFail(pending, (UwsgiDecoder.Request) message);
            }
            if (pending.response != null) {
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

    /** Handles a request. If that throws, the request fails and the connection ends, so that its client knows. */
    private void handleOrFail(PendingResponse pending, UwsgiDecoder.Request request) {
        try {
            handleRequest(pending, request);
        } catch (RuntimeException | StackOverflowError e) {
            drain();
            requestEnded(pending.countedByBurstLimiter, Answer.Kind.FAILED);
            respond(pending, HttpResponse.FAILED);
            throw e;
        }
    }

    private void handleRequest(PendingResponse pending, UwsgiDecoder.Request request) {
        Map<String, String> vars = request.packet().vars();
        if (request.packet().modifier1() == UwsgiPacket.PING_MODIFIER) {
            respond(pending, new PingResponse(front.core().healthy()));
        } else if (!front.config().healthPath().isEmpty()
                && front.config().healthPath().equals(VarsReader.path(vars))) {
            boolean healthy = front.core().healthy();
            respond(
                    pending,
                    healthy
                            ? HttpResponse.ofText("200 OK", "well")
                            : HttpResponse.ofText("503 Service Unavailable", "ill"));
        } else {
            try {
                InboundRequest inbound = front.varsReader()
                        .read(vars, request.body(), front.clock().nowMicros());
                if (rejectIfBurst(
                        front.core(),
                        inbound.requestClass(),
                        answer -> respond(pending, HttpResponse.ofAnswer(answer)))) {
                    return;
                }
                pending.countedByBurstLimiter = isCountedByBurstLimiter();
                pending.ticket = front.core().submit(inbound, answer -> complete(pending, answer));
            } catch (InvalidVarException e) {
                countMalformedMessage();
                respond(pending, HttpResponse.ofText(BAD_REQUEST, e.getMessage()));
            }
        }
    }

    private void complete(PendingResponse pending, Answer answer) {
        requestEnded(pending.countedByBurstLimiter, answer.kind());
        respond(pending, HttpResponse.ofAnswer(answer));
    }

    private void respond(PendingResponse pending, UwsgiResponse response) {
        pending.response = response;
        writeReadyResponses();
    }

    /** Writes the pending responses in order, up to the first request that is not answered yet. */
    private void writeReadyResponses() {
        while (firstPending != null && firstPending.response != null) {
            if (isDeferred(firstPending)) {
                scheduleDrain();
                break;
            }
            writeFirstPending();
        }
        flushUnlessReading();
        answerWritten();
    }

    /**
     * Returns whether a response must wait for the next reads: it may be the last one, because the server is draining
     * and no request is open behind it, but a request may wait in the socket.
     */
    private boolean isDeferred(PendingResponse pending) {
        return pending.response != null && pending.next == null && serverDraining && !isDraining();
    }

    private void scheduleDrain() {
        if (!drainScheduled) {
            drainScheduled = true;
            runAfterNextReads(this::drainUnlessMoreInput);
        }
    }

    /**
     * Writes the first pending response. Only the last response on the connection announces its end, because a client
     * that reads the announcement may close the connection, which cancels the requests behind it.
     */
    private void writeFirstPending() {
        boolean isLast = isDraining() && firstPending.next == null;
        ctx.write(firstPending.response.encode(ctx.alloc(), isLast), ctx.voidPromise());
        firstPending = firstPending.next;
        lastPending = firstPending == null ? null : lastPending;
        openRequests--;
        hasResponded = true;
    }
}
