package wheatspread.logging;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The program's log on SLF4J: the event's name is the message, its fields are key-value pairs. Any thread may
 * log; what is written waits for no disk, since {@link LogSetup} hands it to a thread of its own.
 */
public final class StructuredLog implements EventLog {
    private final Logger logger = LoggerFactory.getLogger("wheatspread");
    private final RepeatLimit repeats;
    private final LongSupplier micros;

    /** {@code micros} is the clock by which repeats are counted. */
    public StructuredLog(RepeatLimit repeats, LongSupplier micros) {
        this.repeats = repeats;
        this.micros = micros;
    }

    @Override
    public void log(Level level, String event, Object... fields) {
        long leftOut;
        synchronized (repeats) {
            leftOut = repeats.admit(event, micros.getAsLong());
        }
        if (leftOut < 0) {
            return;
        }
        LoggingEventBuilder builder = logger.atLevel(org.slf4j.event.Level.valueOf(level.name()));
        for (int i = 0; i + 1 < fields.length; i += 2) {
            builder = builder.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
        }
        if (leftOut > 0) {
            builder = builder.addKeyValue("left_out", leftOut);
        }
        builder.log(event);
    }
}
