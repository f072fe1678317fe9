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
 * Configures Logback without a configuration file, which would load an XML parser at start-up. Lines are
 * written to standard error by a separate thread, so that a slow reader of standard error does not block the event
 * loop. Lines beyond a queue of {@link #MAX_QUEUED_LINES} are dropped.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    private static final int MAX_QUEUED_LINES = 1_024;
    /** The time limit of {@link #flush} for writing queued lines. */
    private static final int FLUSH_TIMEOUT_MS = 500;

    /** Called by Logback at its start; the configuration applies until the first call of {@link #configureOutput}. */
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        configure(context, false, "info", null);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /**
     * Configures the format and the lowest level of lines, and the server's name in every line; null for no name.
     */
    public static void configureOutput(boolean json, String level, String server) {
        configure((LoggerContext) LoggerFactory.getILoggerFactory(), json, level, server);
    }

    private static void configure(LoggerContext context, boolean json, String level, String server) {
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
        queue.setQueueSize(MAX_QUEUED_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(FLUSH_TIMEOUT_MS);
        queue.addAppender(console);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN); // applies to libraries
        root.addAppender(queue);
        context.getLogger("wheatspread").setLevel(Level.toLevel(level));
    }

    /** Writes the queued lines and stops the log; called before the process exits. */
    public static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }
}
