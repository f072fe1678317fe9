package wheatspread.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import wheatspread.core.Kernel;

/** Guards against a rename in the code that changes a keyword on the wire. */
class KernelWireNamesTest {
    private static final Map<String, String> KEYWORDS_BY_CONSTANT = Map.ofEntries(
            Map.entry("RESUME_SESSION", "OPEN"),
            Map.entry("START", "SCHED"),
            Map.entry("SUSPEND", "PREEMPT"),
            Map.entry("RESUME", "RESCHED"),
            Map.entry("CALL_REPLY", "IODONE"),
            Map.entry("SKIP_CALL", "NOIO"),
            Map.entry("REQUEST_GAUGES", "SYSINFO"),
            Map.entry("READY", "BOOTED"),
            Map.entry("COMPLETION", "REAP"),
            Map.entry("CALL_REQUEST", "IOREQ"),
            Map.entry("GAUGES", "INFO"),
            Map.entry("COMMAND_REJECTED", "EINVAL"),
            Map.entry("TYPE", "type"),
            Map.entry("JOB", "job"),
            Map.entry("REQUEST_CLASS", "kind"),
            Map.entry("BODY", "data"),
            Map.entry("SEQUENCE_NUMBER", "n"),
            Map.entry("REFERENCE", "ref"),
            Map.entry("GAUGE_VALUES", "gauges"),
            Map.entry("STATE", "state"),
            Map.entry("DURATION_MS", "took"),
            Map.entry("COLD_START", "COLD"));

    @Test
    void everyConstantKeepsItsKeyword() throws IllegalAccessException {
        Map<String, Object> constants = new TreeMap<>();
        for (Field field : KernelWireNames.class.getDeclaredFields()) {
            if (!field.isSynthetic() && Modifier.isStatic(field.getModifiers())) {
                constants.put(field.getName(), field.get(null));
            }
        }
        assertThat(constants).isEqualTo(new TreeMap<String, Object>(KEYWORDS_BY_CONSTANT));
    }

    @Test
    void everyStateOfACompletionMapsToARunEnd() {
        Map<String, Kernel.End> ends = Map.of(
                "OK", Kernel.End.OK,
                "ERROR", Kernel.End.ERROR,
                "STOPPED", Kernel.End.STOPPED,
                "MOOT", Kernel.End.IGNORED);
        assertThat(ends.values()).containsExactlyInAnyOrder(Kernel.End.values());
        ends.forEach((word, end) -> assertThat(KernelWireNames.runEnd(word)).isEqualTo(end));
        assertThatThrownBy(() -> KernelWireNames.runEnd("ok")).isInstanceOf(IllegalArgumentException.class);
    }
}
