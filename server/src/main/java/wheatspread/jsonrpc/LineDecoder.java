package wheatspread.jsonrpc;

import io.netty.handler.codec.LineBasedFrameDecoder;

/** Reads lines, complains of one that is too long before its end, and tells whether one has begun. */
final class LineDecoder extends LineBasedFrameDecoder {
    LineDecoder(int longest) {
        super(longest, true, true);
    }

    /** Whether some bytes of a line have come, but not its end. */
    boolean midway() {
        return actualReadableBytes() > 0;
    }
}
