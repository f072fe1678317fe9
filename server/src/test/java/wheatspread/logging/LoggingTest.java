package wheatspread.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class LoggingTest {
    @Test
    void countsButDoesNotAdmitEventsBeyondTheLimit() {
        RepeatLimit limit = new RepeatLimit(3, 1_000);
        for (int i = 0; i < 10; i++) {
            assertThat(limit.admit("a", i)).isEqualTo(i < 3 ? 0 : -1);
        }
        assertThat(limit.admit("b", 10)).isZero(); // every name has a separate count
        assertThat(limit.admit("a", 1_000)).isEqualTo(7);
        assertThat(limit.admit("a", 1_001)).isZero();
        assertThat(new RepeatLimit(0, 1).admit("a", 0)).isZero();
    }

    @Test
    void limitsTheNumberOfNamesWithASeparateCount() {
        RepeatLimit limit = new RepeatLimit(1, 1_000);
        int admitted = 0;
        for (int i = 0; i < 10_000; i++) {
            admitted += limit.admit("name " + i, 1) >= 0 ? 1 : 0;
        }
        assertThat(admitted)
                .isEqualTo(257); // one event for each of 256 names, and one for the shared count of all others
    }

    @Test
    void textAndJsonLinesHaveTheSameFields() {
        List<ILoggingEvent> events = new ArrayList<>();
        Logger logger = ((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger("wheatspread");
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                events.add(event);
            }
        };
        appender.start();
        Level originalLevel = logger.getLevel();
        logger.setLevel(Level.INFO);
        logger.setAdditive(false);
        logger.addAppender(appender);
        try {
            EventLog log = new StructuredLog(new RepeatLimit(1, 1_000), () -> events.size() * 600L);
            log.warn("odd_thing", "text", "a \"b\"\nc", "count", 3, "share", Double.NaN, "empty", null);
            log.warn("odd_thing");
            log.info("other", "why", "");
            log.warn("odd_thing", "again", true);
            log.log(EventLog.Level.DEBUG, "too_fine");
        } finally {
            logger.detachAppender(appender);
            logger.setAdditive(true);
            logger.setLevel(originalLevel);
        }
        assertThat(events).hasSize(3);
        String json = new EventLayout(true, "n1").doLayout(events.get(0));
        assertThat(json).endsWith("\n").hasLineCount(1);
        JSONObject fields = new JSONObject(json);
        assertThat(fields.remove("at").toString()).startsWith("20").endsWith("Z");
        assertThat(fields.toMap())
                .containsEntry("event", "odd_thing")
                .containsEntry("server", "n1")
                .containsEntry("text", "a \"b\"\nc")
                .containsEntry("count", 3)
                .containsEntry("share", "NaN");
        assertThat(new EventLayout(false, null).doLayout(events.get(0)))
                .contains("WARN odd_thing text=\"a \\\"b\\\"\\nc\" count=3 share=NaN empty=null\n");
        assertThat(new EventLayout(false, "n1").doLayout(events.get(2))).contains("again=true left_out=1");
    }
}
