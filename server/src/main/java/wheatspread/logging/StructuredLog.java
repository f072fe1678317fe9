package wheatspread.logging;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The event log on SLF4J: the message is the event's name, and the key-value pairs are its fields. Thread-safe; logging
 * does not block on I/O, since {@link LogSetup} configures an asynchronous appender.
 */
public final class StructuredLog implements EventLog {
    private final Logger logger = LoggerFactory.getLogger("wheatspread");
    private final RepeatLimit repeats;
    private final LongSupplier clockMicros;

    /** {@code clockMicros} is the clock of the rate limit. */
    public StructuredLog(RepeatLimit repeats, LongSupplier clockMicros) {
        this.repeats = repeats;
        this.clockMicros = clockMicros;
    }

    @Override
    public void log(Level level, String event, Object... fields) {
        long suppressed;
        synchronized (repeats) {
            suppressed = repeats.admit(event, clockMicros.getAsLong());
        }
        if (suppressed < 0) {
            return;
        }
        LoggingEventBuilder builder = logger.atLevel(org.slf4j.event.Level.valueOf(level.name()));
        for (int i = 0; i + 1 < fields.length; i += 2) {
            builder = builder.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
        }
        if (suppressed > 0) {
            builder = builder.addKeyValue("left_out", suppressed);
        }
        builder.log(event);
    }
}
