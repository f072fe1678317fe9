package wheatspread.uwsgi;

import java.util.Map;

/** One uwsgi packet: the two modifier bytes and the vars, in the order in which they were received. */
public record UwsgiPacket(int modifier1, int modifier2, Map<String, String> vars) {
    /** The modifier of a request with vars. */
    public static final int REQUEST_MODIFIER = 0;
    /** The modifier of a ping, and of its answer with a second modifier of 1. */
    public static final int PING_MODIFIER = 100;
    /** The first modifier, the size and the second modifier. */
    static final int HEADER_BYTES = 4;
    /** The longest vars that the 16-bit size can state. */
    static final int MAX_VARS_BYTES = 0xffff;
}
