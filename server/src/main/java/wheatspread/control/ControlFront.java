package wheatspread.control;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import wheatspread.connections.ConnectionLimits;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Front;
import wheatspread.transport.Listener;

/**
 * The operators' endpoint: HTTP/1.1 with one request a connection, {@code GET /_ready} and {@code GET /_vars}. It runs
 * on the event loop of the recipe traffic, whose iterations are short, so a caller is answered within the second that
 * operators wait. Its own connection table bounds how many callers there are and how long one may take.
 */
public final class ControlFront implements Front {
    /** Connections at a time: operators send one request every second or two, and a few connections never finish. */
    public static final int MAX_CONNECTIONS = 64;
    /** A connection whose request is not complete by then makes room for others. */
    public static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** The size of a request up to the end of its head. */
    static final int MAX_HEAD_BYTES = 8 << 10;
    /** The bytes that wait to be written to callers which do not read, of all connections together. */
    private static final long MAX_PENDING_BYTES = 4L << 20;

    final ControlEndpoints endpoints;

    /** Further requests that the endpoint answers. */
    public interface AdditionalEndpoints {
        /** The response to a request; null for a path that is not known. */
        ControlResponse answer(String method, String path);
    }

    /** A response; {@code status} is code and reason phrase, as in "200 OK". */
    public record ControlResponse(String status, String body) {}

    /**
     * An endpoint. The suppliers are called on the loop's thread.
     *
     * @param ready whether the process serves
     * @param metrics gives the metrics, as lines of text
     * @param additionalEndpoints null where there are none
     */
    public ControlFront(BooleanSupplier ready, Supplier<String> metrics, AdditionalEndpoints additionalEndpoints) {
        endpoints = new ControlEndpoints(ready, metrics, additionalEndpoints);
    }

    /** The bounds of the endpoint's own connections, apart from those of the recipe traffic. */
    public static ConnectionLimits limits() {
        ConnectionLimits usual = ConnectionLimits.defaults(MAX_CONNECTIONS);
        return new ConnectionLimits(
                MAX_CONNECTIONS,
                0,
                0,
                usual.acceptBurst(),
                REQUEST_TIMEOUT_MICROS,
                REQUEST_TIMEOUT_MICROS,
                REQUEST_TIMEOUT_MICROS,
                usual.lingerTimeoutMicros(),
                usual.evictionGraceMicros(),
                MAX_CONNECTIONS * (long) MAX_HEAD_BYTES,
                MAX_PENDING_BYTES,
                ConnectionLimits.Rejection.ANSWER);
    }

    @Override
    public ClientChannelHandler newHandler(Listener listener) {
        return new ControlConnection(listener, this);
    }

    @Override
    public byte[] rejectionBytes() {
        return response("503 Service Unavailable", "busy\n");
    }

    /** The bytes of a response, after which the connection is closed. */
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
