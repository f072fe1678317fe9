package wheatspread.admission;

/**
 * One try that was read. {@code timeoutMicros} is how long its caller still waits, 0 where that is not told;
 * {@code ageMicros} how long ago it reached the machine; {@code duplicateOf} the request it repeats, or 0;
 * {@code retry} marks a try after the first where callers mark them; {@code expectedWorkMicros} the expected work, as
 * time on a core of usual speed, 0 where none is told.
 */
public record AdmissionRequest(
        long id,
        int tenant,
        int requestClass,
        long ageMicros,
        long timeoutMicros,
        long duplicateOf,
        boolean retry,
        boolean cacheable,
        boolean write,
        double heldKb,
        double expectedWorkMicros) {}
