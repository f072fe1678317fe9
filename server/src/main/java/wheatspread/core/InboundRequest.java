package wheatspread.core;

/**
 * One attempt of a request, as a front has read it. Times are Unix time in microseconds.
 *
 * @param job the name by which the kernel and the records service know the attempt
 * @param requestClass the index of its class in the settings
 * @param tenant the index of its tenant in the settings
 * @param arrivalMicros when it reached the machine
 * @param deadlineMicros when its caller stops waiting
 * @param hasClientTimeout whether the caller gave the deadline; otherwise it is the class's deadline after arrival
 * @param retry whether the caller marked it as an attempt after the first one
 * @param heldKb the memory that it takes while it is queued, in KB
 * @param expectedWorkMicros the work to expect, in microseconds; 0 where unknown
 * @param idempotencyKey shared by all attempts of one idempotent request; may be null
 * @param cacheKey identifies what a read is about; may be null
 * @param body the request body that the kernel is given
 */
public record InboundRequest(
        String job,
        int requestClass,
        int tenant,
        long arrivalMicros,
        long deadlineMicros,
        boolean hasClientTimeout,
        boolean retry,
        double heldKb,
        long expectedWorkMicros,
        String idempotencyKey,
        String cacheKey,
        byte[] body) {}
