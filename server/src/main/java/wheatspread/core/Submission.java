package wheatspread.core;

/**
 * One try as a front has read it. {@code job} names it to the kernel and the records service; {@code kind}
 * and {@code tenant} are places in the settings' lists; {@code door} is when it reached the machine and
 * {@code due} when its caller stops waiting, in Unix microseconds; {@code limited} tells whether the caller
 * said so, else {@code due} is its class's deadline after the door; {@code further} marks a try after the
 * first, where callers mark them; {@code hint} is the work to expect, also in microseconds, 0 where unknown;
 * {@code unique} ties the tries of one keyed request, {@code item} names what a read is about; both may be
 * null.
 */
public record Submission(
        String job,
        int kind,
        int tenant,
        long door,
        long due,
        boolean limited,
        boolean further,
        double heldKb,
        long hint,
        String unique,
        String item,
        byte[] body) {}
