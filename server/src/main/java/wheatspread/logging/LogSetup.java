package wheatspread.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.nio.charset.StandardCharsets;
import org.slf4j.LoggerFactory;

/**
 * Sets Logback up without a file of its own, which would cost a start its XML reader. Lines go to standard
 * error by a thread of their own: a reader that stops reading must not hold up the event loop. Past {@link
 * #QUEUE} lines that wait, further ones are dropped.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** Lines that may wait to be written. */
    private static final int QUEUE = 1_024;
    /** How long the end of the process waits for them, in milliseconds. */
    private static final int FLUSH_MS = 500;

    /** Found by Logback as the one that sets it up; what holds until {@link #use} says otherwise. */
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        set(context, false, "info", null);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /**
     * From now on lines are JSON or text, of this level or more, and name the server; null where it has none.
     */
    public static void use(boolean json, String level, String server) {
        set((LoggerContext) LoggerFactory.getILoggerFactory(), json, level, server);
    }

    private static void set(LoggerContext context, boolean json, String level, String server) {
        context.reset();
        EventLayout layout = new EventLayout(json, server);
        layout.setContext(context);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setCharset(StandardCharsets.UTF_8);
        encoder.setLayout(layout);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(FLUSH_MS);
        queue.addAppender(console);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN); // of the libraries, faults only
        root.addAppender(queue);
        context.getLogger("wheatspread").setLevel(Level.toLevel(level));
    }

    /** Writes what waits; for the last moment of a process. */
    public static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }
}
