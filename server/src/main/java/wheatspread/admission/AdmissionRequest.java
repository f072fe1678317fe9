package wheatspread.admission;

/**
 * One request that was read.
 *
 * @param id its number, unique in this process
 * @param tenant index of its tenant
 * @param requestClass index of its class
 * @param ageMicros how long ago it reached the machine
 * @param timeoutMicros how long its client still waits; 0 if unknown
 * @param duplicateOf id of the request that it repeats; 0 if none
 * @param retry whether its client marked it as an attempt after the first
 * @param cacheable whether it has a cache key
 * @param write whether it changes data
 * @param heldKb memory that it takes while held, in kilobytes
 * @param expectedWorkMicros expected time on a core of the usual speed; 0 if unknown
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
