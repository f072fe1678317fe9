package wheatspread.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.LayoutBase;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.json.JSONObject;
import org.json.JSONWriter;
import org.slf4j.event.KeyValuePair;

/**
 * Formats an event as one line. JSON: {@code
 * {"at":"2026-12-01T10:00:00.123Z","level":"INFO","event":"phase",...}}; text: the same as
 * {@code name=value}, separated by spaces. Every line contains the name of the server, if it is known.
 */
final class EventLayout extends LayoutBase<ILoggingEvent> {
    private final boolean json;
    private final String server;

    /** {@code server} is the name of the server in every line; null for none. */
    EventLayout(boolean json, String server) {
        this.json = json;
        this.server = server;
    }

    @Override
    public String doLayout(ILoggingEvent event) {
        List<KeyValuePair> pairs = event.getKeyValuePairs() == null ? List.of() : event.getKeyValuePairs();
        Throwable fault = event.getThrowableProxy() instanceof ch.qos.logback.classic.spi.ThrowableProxy proxy
                ? proxy.getThrowable()
                : null;
        return json ? object(event, pairs, fault) : text(event, pairs, fault);
    }

    private String text(ILoggingEvent event, List<KeyValuePair> pairs, Throwable fault) {
        Object[] fields = new Object[2 * pairs.size() + (fault == null ? 0 : 2)];
        int index = 0;
        for (KeyValuePair pair : pairs) {
            fields[index++] = pair.key;
            fields[index++] = pair.value;
        }
        if (fault != null) {
            fields[index++] = "fault";
            fields[index] = fault;
        }
        return Instant.ofEpochMilli(event.getTimeStamp()) + " " + event.getLevel() + " "
                + (server == null ? "" : server + " ") + EventLog.line(event.getFormattedMessage(), fields)
                + "\n";
    }

    private String object(ILoggingEvent event, List<KeyValuePair> pairs, Throwable fault) {
        StringBuilder out = new StringBuilder();
        JSONWriter line = new JSONWriter(out)
                .object()
                .key("at")
                .value(Instant.ofEpochMilli(event.getTimeStamp()).toString())
                .key("level")
                .value(event.getLevel().toString())
                .key("event")
                .value(event.getFormattedMessage());
        if (server != null) {
            line.key("server").value(server);
        }
        for (KeyValuePair pair : pairs) {
            line.key(pair.key).value(jsonValue(pair.value));
        }
        if (fault != null) {
            line.key("fault").value(fault.toString());
        }
        line.endObject();
        return out.append('\n').toString();
    }

    /** Converts a value to one that JSON can represent; anything else becomes text, as do NaN and infinity. */
    private static Object jsonValue(Object value) {
        if (value == null) {
            return JSONObject.NULL;
        }
        boolean finiteNumber = value instanceof Number number && Double.isFinite(number.doubleValue());
        if (finiteNumber || value instanceof Boolean) {
            return value;
        }
        if (value instanceof Collection<?> elements) {
            return elements.stream().map(EventLayout::jsonValue).toList();
        }
        return String.valueOf(value);
    }
}
