package wheatspread.control;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import wheatspread.control.ControlFront.AdditionalEndpoints;
import wheatspread.control.ControlFront.ControlResponse;

/** Answers the HTTP requests of the operators' endpoint. All calls are made on the event loop's thread. */
final class ControlEndpoints {
    private static final String READY_PATH = "/_ready";
    private static final String METRICS_PATH = "/_vars";
    private static final Pattern HTTP_VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final int REQUEST_LINE_PARTS = 3;

    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final AdditionalEndpoints additionalEndpoints;

    /**
     * Creates the endpoints.
     *
     * @param ready returns whether the process serves
     * @param metrics returns the metrics as lines of text
     * @param additionalEndpoints answers all other paths; null if there are none
     */
    ControlEndpoints(BooleanSupplier ready, Supplier<String> metrics, AdditionalEndpoints additionalEndpoints) {
        this.ready = ready;
        this.metrics = metrics;
        this.additionalEndpoints = additionalEndpoints;
    }

    /** Returns the bytes of the response to a request; {@code head} includes the blank line at its end. */
    byte[] answer(String head) {
        int lineEnd = head.indexOf('\n');
        String requestLine = (lineEnd < 0 ? head : head.substring(0, lineEnd)).strip();
        String[] parts = requestLine.split(" ", -1);
        if (!isRequestLine(parts)) {
            return ControlFront.response("400 Bad Request", "not an HTTP/1.1 request line\n");
        }
        String method = parts[0];
        String path = withoutQuery(parts[1]);
        if (!path.equals(READY_PATH) && !path.equals(METRICS_PATH)) {
            return answerAdditional(method, path);
        }
        if (!method.equals("GET") && !method.equals("HEAD")) {
            return ControlFront.response("405 Method Not Allowed", "only GET\n");
        }
        return path.equals(READY_PATH) ? readiness() : ControlFront.response("200 OK", metrics.get());
    }

    private static boolean isRequestLine(String[] parts) {
        return parts.length == REQUEST_LINE_PARTS
                && HTTP_VERSION.matcher(parts[2]).matches()
                && !parts[0].isEmpty()
                && parts[1].startsWith("/");
    }

    private static String withoutQuery(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private byte[] answerAdditional(String method, String path) {
        ControlResponse response = additionalEndpoints == null ? null : additionalEndpoints.answer(method, path);
        return response == null
                ? ControlFront.response("404 Not Found", "known are /_ready and /_vars\n")
                : ControlFront.response(response.status(), response.body());
    }

    private byte[] readiness() {
        return ready.getAsBoolean()
                ? ControlFront.response("200 OK", "ready\n")
                : ControlFront.response("503 Service Unavailable", "not ready\n");
    }
}
