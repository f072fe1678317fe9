package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * A response to one message of a connection. It is encoded when it is written, because only then is known whether a
 * further response follows on the connection.
 */
interface UwsgiResponse {
    /** Encodes the response; {@code isLast} if the connection ends after it. */
    ByteBuf encode(ByteBufAllocator allocator, boolean isLast);
}
