package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Map;
import java.util.function.Consumer;
import wheatspread.config.UwsgiConfig;
import wheatspread.core.Answer;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.Submission;
import wheatspread.sockets.Caller;
import wheatspread.sockets.Listener;

/** One uwsgi caller: hands its requests to the core, and writes one response for each, in their order. */
final class UwsgiConnection extends ChannelInboundHandlerAdapter implements Caller {
    /** Requests that may wait for their answers; no more is read while they do. */
    private static final int MOST_OPEN = 32;

    private final Listener listener;
    private final Core core;
    private final Clock clock;
    private final UwsgiConfig config;
    private final VarsReader reader;
    private final UwsgiDecoder decoder;
    private final Consumer<String> log;
    private final Deque<Slot> slots = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private Clock.Timer timer;
    private long usedAt;
    /** When the first byte of a request came of which some are missing; 0 if there is none. */
    private long startedAt;
    /** Once the slots are answered the connection is closed. */
    private boolean lastCall;
    private boolean asked;
    private boolean closing;
    private boolean answered;

    /** The place of one response in the order of requests. */
    private static final class Slot {
        Long ticket;
        Object response;
    }

    UwsgiConnection(Listener listener, Core core, Clock clock, UwsgiConfig config, VarsReader reader,
                    UwsgiDecoder decoder, Consumer<String> log) {
        this.listener = listener;
        this.core = core;
        this.clock = clock;
        this.config = config;
        this.reader = reader;
        this.decoder = decoder;
        this.log = log;
    }

    // ---- the connection ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        usedAt = clock.now();
        watch();
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.closed(this);
        timer.cancel();
        timer = null;
        new ArrayList<>(slots).forEach(slot -> core.gone(slot.ticket)); // the caller has gone
        slots.clear();
    }

    /**
     * Frees a connection whose request does not come to its end in time. The time runs from the first byte,
     * not from the last one: bytes that trickle in must not hold a connection for ever.
     */
    private void watch() {
        if (timer != null) {
            timer.cancel();
        }
        long until = startedAt > 0 ? startedAt + config.readTimeout() : usedAt + config.idleTimeout();
        timer = clock.after(Math.max(0, until - clock.now()), () -> {
            boolean unread = !ctx.channel().config().isAutoRead();
            if (!unread && (startedAt > 0 || slots.isEmpty())) {
                ctx.close();
            } else {
                usedAt = clock.now(); // it waits for us, or we do not read from it
                startedAt = startedAt > 0 ? usedAt : 0;
                watch();
            }
        });
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        long before = startedAt;
        startedAt = !decoder.midway() ? 0 : before > 0 ? before : clock.now();
        if (startedAt != before) {
            watch();
        }
        closeIfDone();
        context.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        throttle();
    }

    /** A caller that does not read its responses, or asks too much at once, is not read from. */
    private void throttle() {
        ctx.channel().config().setAutoRead(ctx.channel().isWritable() && slots.size() < MOST_OPEN);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            log.accept("uwsgi connection: " + cause);
        }
        context.close();
    }

    @Override
    public void lastCall() {
        lastCall = true;
        closeIfDone();
    }

    @Override
    public void closeIfIdleSince(long time) {
        if (slots.isEmpty() && !decoder.midway() && usedAt < time) {
            close();
        }
    }

    @Override
    public long idleSince() {
        return slots.isEmpty() ? usedAt : Long.MAX_VALUE;
    }

    @Override
    public boolean asked() {
        return asked;
    }

    @Override
    public void closeIfMidwaySince(long time) {
        // the operator's read_timeout_ms says when, see watch
    }

    @Override
    public long waitingBytes() {
        return ctx.channel().bytesBeforeWritable();
    }

    @Override
    public void close() {
        ctx.close();
    }

    private void closeIfDone() {
        // uwsgi has no word for a last call: who comes while the server leaves gets what it came for
        boolean leave = lastCall && answered && !decoder.midway();
        if ((leave || closing) && slots.isEmpty()) {
            ctx.writeAndFlush(ctx.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
        }
    }

    // ---- requests ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        startedAt = 0;
        asked = true;
        Slot slot = new Slot();
        slots.add(slot);
        if (message instanceof UwsgiDecoder.Malformed bad) {
            closing = true;
            String status = bad.tooLarge() ? "413 Content Too Large" : "400 Bad Request";
            respond(slot, status, text(bad.complaint()), "");
        } else {
            request(slot, (UwsgiDecoder.Request) message);
        }
        throttle();
    }

    private void request(Slot slot, UwsgiDecoder.Request request) {
        Map<String, String> vars = request.packet().vars();
        if (request.packet().modifier1() == UwsgiPacket.PING) {
            slot.response = new UwsgiPacket(UwsgiPacket.PING, core.well() ? 1 : 0, Map.of());
            writeReady();
        } else if (!config.healthPath().isEmpty() && config.healthPath().equals(VarsReader.path(vars))) {
            boolean well = core.well();
            respond(slot, well ? "200 OK" : "503 Service Unavailable", text(well ? "well" : "ill"), "");
        } else {
            try {
                Submission submission = reader.read(vars, request.body(), clock.now());
                slot.ticket = core.submit(submission, answer -> answer(slot, answer));
            } catch (VarsReader.BadVar e) {
                respond(slot, "400 Bad Request", text(e.getMessage()), "");
            }
        }
    }

    private void answer(Slot slot, Answer answer) {
        String feedback = Double.isNaN(answer.feedback()) ? ""
            : "X-Recipe-Feedback: " + answer.feedback() + "\r\n";
        switch (answer.kind()) {
            case SERVED -> respond(slot, "200 OK", answer.body(), feedback);
            case REFUSED -> respond(slot, "503 Service Unavailable", text("refused"), feedback
                + "Retry-After: " + retryAfter(answer.later()) + "\r\n"
                + (answer.last() ? "X-Recipe-Give-Up: 1\r\n" : ""));
            case OUT_OF_TIME -> respond(slot, "504 Gateway Timeout", text("out of time"), feedback);
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
        boolean last = closing || lastCall;
        byte[] head = ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n" + headers
            + (last ? "Connection: close\r\n" : "") + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ByteBuf response = ctx.alloc().buffer(head.length + body.length);
        slot.response = response.writeBytes(head).writeBytes(body);
        writeReady();
    }

    /** Responses leave in the order of their requests; one that is ready early waits for those before it. */
    private void writeReady() {
        while (!slots.isEmpty() && slots.peek().response != null) {
            ctx.write(slots.poll().response, ctx.voidPromise());
            answered = true;
        }
        ctx.flush();
        usedAt = clock.now();
        watch();
        throttle();
        closeIfDone();
    }
}
