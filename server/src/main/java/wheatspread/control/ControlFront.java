package wheatspread.control;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import wheatspread.connections.ConnectionLimits;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Front;
import wheatspread.transport.Listener;

/**
 * The operators' door: HTTP/1.1 with one call a connection, {@code GET /_ready} and {@code GET /_vars}. It
 * runs on the loop of the recipe traffic, whose turns are short, so a caller hears within the second the
 * operators wait; its own table bounds how many may be connected and how long one may take to finish a call.
 */
public final class ControlFront implements Front {
    /** Callers at a time; the operators send one call every second or two, and a few that never finish. */
    public static final int MOST_CALLERS = 64;
    /** A call must be whole by then, or its connection makes room; us. */
    public static final long WHOLE_CALL = 2_000_000;
    /** The most bytes one call may have before the end of its head. */
    static final int MOST_HEAD = 8 << 10;

    final BooleanSupplier ready;
    final Supplier<String> vars;
    /** Calls that there are besides; null for none. */
    final More more;

    /** Answers further calls. */
    public interface More {
        /** Null for a path that is not known. */
        Told answer(String method, String path);
    }

    /** An answer, with the status as HTTP says it. */
    public record Told(String status, String body) {}

    /**
     * {@code ready} says whether the process can serve; {@code vars} gives the figures as lines of text;
     * {@code more} is null where there are no further calls.
     */
    public ControlFront(BooleanSupplier ready, Supplier<String> vars, More more) {
        this.ready = ready;
        this.vars = vars;
        this.more = more;
    }

    /** The bounds of the door's own connections, apart from those of the recipe traffic. */
    public static ConnectionLimits limits() {
        ConnectionLimits usual = ConnectionLimits.usual(MOST_CALLERS);
        return new ConnectionLimits(
                MOST_CALLERS,
                0,
                0,
                usual.acceptBurst(),
                WHOLE_CALL,
                WHOLE_CALL,
                WHOLE_CALL,
                usual.lingering(),
                usual.toSpeak(),
                MOST_CALLERS * (long) MOST_HEAD,
                4L << 20,
                ConnectionLimits.Refusal.ANSWER);
    }

    @Override
    public ClientChannelHandler caller(Listener listener) {
        return new ControlConnection(listener, this);
    }

    @Override
    public byte[] refusal() {
        return response("503 Service Unavailable", "busy\n");
    }

    /** A whole response that ends the connection. */
    static byte[] response(String status, String body) {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "
                + text.length + "\r\nConnection: close\r\n\r\n";
        byte[] whole = new byte[head.length() + text.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, whole, 0, head.length());
        System.arraycopy(text, 0, whole, head.length(), text.length);
        return whole;
    }
}
