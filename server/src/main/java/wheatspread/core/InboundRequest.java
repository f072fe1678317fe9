package wheatspread.core;

/**
 * One try as a front has read it. {@code job} names it to the kernel and the records service; {@code requestClass}
 * and {@code tenant} are places in the settings' lists; {@code arrivalMicros} is when it reached the machine and
 * {@code deadlineMicros} when its caller stops waiting, in Unix microseconds; {@code hasClientTimeout} tells whether
 * the caller
 * said so, else {@code deadlineMicros} is its class's deadline after the door; {@code retry} marks a try after the
 * first, where callers mark them; {@code expectedWorkMicros} is the work to expect, also in microseconds, 0 where
 * unknown;
 * {@code idempotencyKey} ties the tries of one keyed request, {@code cacheKey} names what a read is about; both may be
 * null.
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
