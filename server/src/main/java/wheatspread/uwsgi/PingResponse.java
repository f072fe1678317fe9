package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Map;

/** The response to a ping: a packet whose second modifier is 1 if the server is healthy. */
record PingResponse(boolean healthy) implements UwsgiResponse {
    /** Encodes the packet, which has no field to announce the end of the connection. */
    @Override
    public ByteBuf encode(ByteBufAllocator allocator, boolean isLast) {
        ByteBuf bytes = allocator.buffer(UwsgiPacket.HEADER_BYTES);
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.PING_MODIFIER, healthy ? 1 : 0, Map.of()), bytes);
        return bytes;
    }
}
