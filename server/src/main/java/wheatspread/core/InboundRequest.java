package wheatspread.core;

/**
 * One attempt of a request, as read by a front. Times are Unix time in microseconds.
 *
 * @param job the name under which the kernel and the records service know the attempt
 * @param requestClass the index of its class in the settings
 * @param tenant the index of its tenant in the settings
 * @param arrivalMicros when the attempt reached the machine
 * @param deadlineMicros when the client stops waiting
 * @param hasClientTimeout whether the client set the deadline; otherwise it is the class's deadline after arrival
 * @param retry whether the client marked the attempt as a retry
 * @param heldKb the memory that the attempt occupies while it is queued, in KB
 * @param expectedWorkMicros the expected work, in microseconds; 0 if unknown
 * @param idempotencyKey the key shared by all attempts of one idempotent request; may be null
 * @param cacheKey the key of the data that a cacheable read returns; may be null
 * @param body the request body that is passed to the kernel
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
