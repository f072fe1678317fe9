package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import wheatspread.core.Answer;
import wheatspread.core.InboundRequest;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Listener;

/** One uwsgi caller: hands its requests to the core, and writes one response for each, in their order. */
final class UwsgiConnection extends ClientChannelHandler {
    /** Requests that may wait for their answers; no more is read while they do. */
    private static final int MOST_OPEN = 32;

    private final UwsgiFront front;
    /** The responses owed, in the order of their requests. */
    private Slot first;

    private Slot last;
    private int open;
    /** Reads the request that has begun; null at rest. */
    private UwsgiDecoder decoder;
    /** Once the slots are answered the connection is closed. */
    private boolean lastCall;

    private boolean answered;
    /** What is held may have whole requests in it. */
    private boolean stopped;

    /** The place of one response in the order of requests. */
    private static final class Slot {
        Long ticket;
        boolean ofCrowd;
        ByteBuf response;
        Slot next;
    }

    UwsgiConnection(Listener listener, UwsgiFront front) {
        super(listener);
        this.front = front;
    }

    // ---- the connection ----

    @Override
    protected int open() {
        return open;
    }

    @Override
    protected boolean acceptsMoreRequests() {
        return open < MOST_OPEN;
    }

    @Override
    protected void gone() {
        Slot slot = first;
        first = null;
        last = null;
        open = 0;
        for (; slot != null; slot = slot.next) {
            if (slot.response != null) {
                slot.response.release();
            } else {
                requestEnded(slot.ofCrowd, Answer.Kind.FAILED);
                front.core.gone(slot.ticket);
            }
        }
    }

    @Override
    public void lastCall() {
        lastCall = true;
        leaveIfDone();
    }

    /** uwsgi has no word for a last call: who comes while the server leaves gets what it came for. */
    private void leaveIfDone() {
        if (lastCall && answered && open == 0 && !midway()) {
            leave();
        }
    }

    /** A caller that asks too much at once waits; what it sent stays where it is. */
    @Override
    protected int read(ByteBuf bytes) {
        int requests = 0;
        while (bytes.isReadable() && open < MOST_OPEN && !isDraining()) {
            if (decoder == null) {
                decoder = new UwsgiDecoder(front.config.mostVars(), front.config.mostBody());
            }
            Object message = decoder.decode(bytes);
            if (message == null) {
                break;
            }
            requests++;
            Slot slot = new Slot();
            open++;
            if (last == null) {
                first = slot;
            } else {
                last.next = slot;
            }
            last = slot;
            if (message instanceof UwsgiDecoder.Malformed bad) {
                bytes.skipBytes(bytes.readableBytes());
                String status = bad.tooLarge() ? "413 Content Too Large" : "400 Bad Request";
                leave();
                respond(slot, status, text(bad.complaint()), "");
            } else {
                request(slot, (UwsgiDecoder.Request) message);
            }
        }
        stopped = bytes.isReadable() && open >= MOST_OPEN;
        if (!bytes.isReadable() && decoder != null && !decoder.awaitsBody()) {
            decoder = null;
        }
        return requests;
    }

    @Override
    protected int extraBufferedBytes() {
        return decoder != null && decoder.awaitsBody() ? front.config.mostVars() : 0;
    }

    // ---- requests ----

    private void request(Slot slot, UwsgiDecoder.Request request) {
        Map<String, String> vars = request.packet().vars();
        if (request.packet().modifier1() == UwsgiPacket.PING_MODIFIER) {
            ByteBuf pong = ctx.alloc().buffer(UwsgiPacket.HEADER_BYTES);
            UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.PING_MODIFIER, front.core.well() ? 1 : 0, Map.of()), pong);
            slot.response = pong;
            writeReady();
        } else if (!front.config.healthPath().isEmpty()
                && front.config.healthPath().equals(VarsReader.path(vars))) {
            boolean well = front.core.well();
            respond(slot, well ? "200 OK" : "503 Service Unavailable", text(well ? "well" : "ill"), "");
        } else {
            try {
                InboundRequest submission = front.reader.read(vars, request.body(), front.clock.nowMicros());
                if (rejectedByBurstLimiter(front.core, submission.requestClass(), answer -> respond(slot, answer))) {
                    return;
                }
                slot.ofCrowd = isBurstAdmission();
                slot.ticket = front.core.submit(submission, answer -> answer(slot, answer));
            } catch (VarsReader.BadVar e) {
                respond(slot, "400 Bad Request", text(e.getMessage()), "");
            }
        }
    }

    private void answer(Slot slot, Answer answer) {
        requestEnded(slot.ofCrowd, answer.kind());
        respond(slot, answer);
    }

    private void respond(Slot slot, Answer answer) {
        String feedback =
                Double.isNaN(answer.loadFeedback()) ? "" : "X-Recipe-Feedback: " + answer.loadFeedback() + "\r\n";
        switch (answer.kind()) {
            case SERVED -> respond(slot, "200 OK", answer.body(), feedback);
            case REJECTED ->
                respond(
                        slot,
                        "503 Service Unavailable",
                        text("refused"),
                        feedback
                                + "Retry-After: " + retryAfter(answer.retryAfterMicros()) + "\r\n"
                                + (answer.doNotRetry() ? "X-Recipe-Give-Up: 1\r\n" : ""));
            case DEADLINE_EXCEEDED -> respond(slot, "504 Gateway Timeout", text("out of time"), feedback);
            case CONFLICT -> respond(slot, "409 Conflict", text("key has another body"), feedback);
            default -> respond(slot, "500 Internal Server Error", text("failed"), feedback);
        }
    }

    /** Whole seconds, and never none: at once is what a refused caller must not come back. */
    private static long retryAfter(long later) {
        return Math.max(1, (later + 999_999) / 1_000_000);
    }

    private static byte[] text(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void respond(Slot slot, String status, byte[] body, String headers) {
        boolean end = isDraining() || lastCall;
        byte[] head = ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n" + headers
                        + (end ? "Connection: close\r\n" : "") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        ByteBuf response = ctx.alloc().buffer(head.length + body.length);
        slot.response = response.writeBytes(head).writeBytes(body);
        writeReady();
    }

    /** Responses leave in the order of their requests; one that is ready early waits for those before it. */
    private void writeReady() {
        while (first != null && first.response != null) {
            ctx.write(first.response, ctx.voidPromise());
            first = first.next;
            last = first == null ? null : last;
            open--;
            answered = true;
        }
        ctx.flush();
        answered();
        leaveIfDone();
        if (stopped && open < MOST_OPEN) {
            stopped = false;
            front.clock.soon(this::readBuffered);
        }
    }
}
