package wheatspread.admission;

/**
 * A request that was read.
 *
 * @param id number of the request, unique in this process
 * @param tenant index of the tenant
 * @param requestClass index of the request class
 * @param ageMicros time since the request reached the machine
 * @param timeoutMicros time for which the client still waits; 0 if unknown
 * @param originalId id of the original request that this one repeats; 0 if none
 * @param retry whether the client marked the request as an attempt after the first
 * @param cacheable whether the request has a cache key
 * @param write whether the request changes data
 * @param heldKb memory of the request while it is held, in kilobytes
 * @param expectedWorkMicros expected processor time of the run on a server at full speed (after warm-up); 0 if unknown
 */
public record AdmissionRequest(
        long id,
        int tenant,
        int requestClass,
        long ageMicros,
        long timeoutMicros,
        long originalId,
        boolean retry,
        boolean cacheable,
        boolean write,
        double heldKb,
        double expectedWorkMicros) {}
