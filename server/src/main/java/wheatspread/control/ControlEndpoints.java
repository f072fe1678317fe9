package wheatspread.control;

import java.util.function.Supplier;

/** What the operators' door makes of the head of a call: the response, with no I/O of its own. */
final class ControlEndpoints {
    private ControlEndpoints() {}

    /** The response to a call whose head, up to its blank line, is {@code head}. */
    static byte[] answer(String head, boolean ready, Supplier<String> vars, ControlFront.More more) {
        int lineEnd = head.indexOf('\n');
        String line = (lineEnd < 0 ? head : head.substring(0, lineEnd)).strip();
        String[] parts = line.split(" ", -1);
        if (parts.length != 3
                || !parts[2].matches("HTTP/1\\.[01]")
                || parts[0].isEmpty()
                || !parts[1].startsWith("/")) {
            return ControlFront.response("400 Bad Request", "not an HTTP/1.1 request line\n");
        }
        String path = parts[1];
        int query = path.indexOf('?');
        if (query >= 0) {
            path = path.substring(0, query);
        }
        if (!path.equals("/_ready") && !path.equals("/_vars")) {
            ControlFront.Told told = more == null ? null : more.answer(parts[0], path);
            if (told != null) {
                return ControlFront.response(told.status(), told.body());
            }
            return ControlFront.response("404 Not Found", "known are /_ready and /_vars\n");
        }
        if (!parts[0].equals("GET") && !parts[0].equals("HEAD")) {
            return ControlFront.response("405 Method Not Allowed", "only GET\n");
        }
        if (path.equals("/_ready")) {
            return ready
                    ? ControlFront.response("200 OK", "ready\n")
                    : ControlFront.response("503 Service Unavailable", "not ready\n");
        }
        return ControlFront.response("200 OK", vars.get());
    }
}
