package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import wheatspread.core.Answer;

/**
 * An HTTP/1.1 response.
 *
 * @param status the status code and the reason phrase
 * @param headers further header lines, each with its end of line
 */
record HttpResponse(String status, String headers, byte[] body) implements UwsgiResponse {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Tells the client that no response follows, so that it does not wait for one (RFC 9112, 9.6). */
    private static final String CLOSE_HEADER = "Connection: close\r\n";

    /** The response to a request that failed in the server. */
    static final HttpResponse FAILED = ofText("500 Internal Server Error", "failed");

    /** Creates a response with one line of text as its body. */
    static HttpResponse ofText(String status, String line) {
        return ofText(status, "", line);
    }

    private static HttpResponse ofText(String status, String headers, String line) {
        return new HttpResponse(status, headers, (line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Creates the response that carries an answer of the core. */
    static HttpResponse ofAnswer(Answer answer) {
        String feedback = Double.isNaN(answer.loadFeedback())
                ? ""
                : UwsgiWireNames.LOAD_FEEDBACK_HEADER + ": " + answer.loadFeedback() + "\r\n";
        return switch (answer.kind()) {
            case SERVED -> new HttpResponse("200 OK", feedback, answer.body());
            case REJECTED -> ofText("503 Service Unavailable", feedback + rejectionHeaders(answer), "refused");
            case DEADLINE_EXCEEDED -> ofText("504 Gateway Timeout", feedback, "out of time");
            case CONFLICT -> ofText("409 Conflict", feedback, "key has another body");
            default -> new HttpResponse(FAILED.status(), feedback, FAILED.body());
        };
    }

    private static String rejectionHeaders(Answer answer) {
        String retryAfter =
                UwsgiWireNames.RETRY_AFTER_HEADER + ": " + retryAfterSeconds(answer.retryAfterMicros()) + "\r\n";
        return answer.doNotRetry() ? retryAfter + UwsgiWireNames.DO_NOT_RETRY_HEADER + ": 1\r\n" : retryAfter;
    }

    /** Rounds up to whole seconds, at least 1, because a rejected client must not retry immediately. */
    private static long retryAfterSeconds(long retryAfterMicros) {
        return Math.max(1, (retryAfterMicros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND);
    }

    @Override
    public ByteBuf encode(ByteBufAllocator allocator, boolean isLast) {
        byte[] head = ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n" + headers
                        + (isLast ? CLOSE_HEADER : "") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        return allocator.buffer(head.length + body.length).writeBytes(head).writeBytes(body);
    }
}
