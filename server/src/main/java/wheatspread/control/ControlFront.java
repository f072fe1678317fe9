package wheatspread.control;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import wheatspread.connections.ConnectionLimits;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Front;
import wheatspread.transport.Listener;

/**
 * The operators' endpoint: {@code GET /_ready} and {@code GET /_vars} over HTTP/1.1, with one request per connection.
 * The endpoint runs on the event loop of the recipe traffic, whose iterations are short, so that a client is answered
 * within the second that operators wait. A separate connection table limits the number and the duration of
 * the connections to the endpoint.
 */
public final class ControlFront implements Front {
    /**
     * Maximum number of open connections: operators send a request every 1 to 2 s, and a few connections never finish.
     */
    public static final int MAX_CONNECTIONS = 64;
    /** A connection whose request is incomplete after this time is closed to admit other connections. */
    public static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** Maximum size of the head of a request. */
    static final int MAX_HEAD_BYTES = 8 << 10;
    /** Maximum number of bytes that wait to be written, over all connections, because clients do not read. */
    private static final long MAX_PENDING_BYTES = 4L << 20;

    final ControlEndpoints endpoints;

    /** Answers requests to further paths of the endpoint. */
    public interface AdditionalEndpoints {
        /** Returns the response to a request; null if the path is unknown. */
        ControlResponse answer(String method, String path);
    }

    /** A response; {@code status} is the status code and reason phrase, such as "200 OK". */
    public record ControlResponse(String status, String body) {}

    /**
     * Creates an endpoint. The suppliers are called on the event loop's thread.
     *
     * @param ready returns whether the process serves
     * @param metrics returns the metrics as lines of text
     * @param additionalEndpoints answers all other paths; null if there are none
     */
    public ControlFront(BooleanSupplier ready, Supplier<String> metrics, AdditionalEndpoints additionalEndpoints) {
        endpoints = new ControlEndpoints(ready, metrics, additionalEndpoints);
    }

    /** Returns the limits for connections to this endpoint, which are separate from those of the recipe traffic. */
    public static ConnectionLimits limits() {
        ConnectionLimits defaults = ConnectionLimits.defaults(MAX_CONNECTIONS);
        return new ConnectionLimits(
                MAX_CONNECTIONS,
                0,
                0,
                defaults.acceptBurst(),
                REQUEST_TIMEOUT_MICROS,
                REQUEST_TIMEOUT_MICROS,
                REQUEST_TIMEOUT_MICROS,
                defaults.lingerTimeoutMicros(),
                defaults.evictionGraceMicros(),
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

    /** Returns the bytes of a response that announces the close of the connection. */
    static byte[] response(String status, String body) {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "
                + text.length + "\r\nConnection: close\r\n\r\n";
        byte[] response = new byte[head.length() + text.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, response, 0, head.length());
        System.arraycopy(text, 0, response, head.length(), text.length);
        return response;
    }
}
