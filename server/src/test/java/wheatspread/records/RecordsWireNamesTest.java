package wheatspread.records;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.admission.Outcome;

/** The words on the wire are the protocol's, whatever the code calls them. */
class RecordsWireNamesTest {
    @ParameterizedTest
    @CsvSource({"DONE, OK", "WAIT, QUEUE_FULL", "EMPTY, CONNECT_ERROR", "PAST, TIMED_OUT", "ERROR, FAILED"})
    void everyStatusMapsToAnOutcome(String status, Outcome outcome) {
        assertThat(RecordsWireNames.outcome(status)).isEqualTo(outcome);
    }

    @Test
    void unknownStatusMapsToNothing() {
        assertThat(RecordsWireNames.outcome("done")).isNull();
        assertThat(RecordsWireNames.outcome("OP")).isNull();
    }

    @Test
    void commandsHaveTheirWireWords() {
        assertThat(RecordsWireNames.CALL).isEqualTo("OP");
        assertThat(RecordsWireNames.CANCEL).isEqualTo("UNOP");
        assertThat(RecordsWireNames.SUCCEEDED).isEqualTo("DONE");
    }
}
