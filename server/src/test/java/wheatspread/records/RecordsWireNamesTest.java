package wheatspread.records;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.admission.Outcome;

/** Guards against a rename in the code that changes a keyword on the wire. */
class RecordsWireNamesTest {
    @ParameterizedTest
    @CsvSource({"DONE, OK", "WAIT, QUEUE_FULL", "EMPTY, CONNECT_ERROR", "PAST, TIMED_OUT", "ERROR, FAILED"})
    void everyStatusMapsToAnOutcome(String status, Outcome outcome) {
        assertThat(RecordsWireNames.outcome(status)).isEqualTo(outcome);
    }

    @Test
    void unknownStatusMapsToNull() {
        assertThat(RecordsWireNames.outcome("done")).isNull();
        assertThat(RecordsWireNames.outcome("OP")).isNull();
    }

    @Test
    void commandsKeepTheirKeywords() {
        assertThat(RecordsWireNames.CALL).isEqualTo("OP");
        assertThat(RecordsWireNames.CANCEL).isEqualTo("UNOP");
        assertThat(RecordsWireNames.SUCCEEDED).isEqualTo("DONE");
    }
}
