package wheatspread.daemon;

import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * A random number that differs between all processes: successive processes of one server, the servers of a fleet, and
 * the two processes of an upgrade. The configured seed does not differ if they read the same file, and process ids are
 * reused.
 */
record ProcessIdentity(long number) {
    private static final SecureRandom RANDOM = new SecureRandom();

    static ProcessIdentity random() {
        return new ProcessIdentity(RANDOM.nextLong());
    }

    /** Returns the number as 16 hex digits. */
    String text() {
        return HexFormat.of().toHexDigits(number);
    }
}
