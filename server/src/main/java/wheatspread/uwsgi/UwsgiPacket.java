package wheatspread.uwsgi;

import java.util.Map;

/** A uwsgi packet: the two modifier bytes and the vars in the order in which they were received. */
public record UwsgiPacket(int modifier1, int modifier2, Map<String, String> vars) {
    /** The first modifier of a request with vars. */
    public static final int REQUEST_MODIFIER = 0;
    /** The first modifier of a ping and its answer; the answer's second modifier is 1 if the server is healthy. */
    public static final int PING_MODIFIER = 100;
    /** One byte for the first modifier, two for the size and one for the second modifier. */
    static final int HEADER_BYTES = 4;
    /** The maximum of the 16-bit size field. */
    static final int MAX_VARS_BYTES = 0xffff;
}
