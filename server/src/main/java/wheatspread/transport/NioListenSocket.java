package wheatspread.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket on the JDK's selectors whose accept queue can be emptied before it closes. */
public final class NioListenSocket extends NioServerSocketChannel {
    /** Called by Netty by reflection. */
    public NioListenSocket() {}

    NioListenSocket(ServerSocketChannel handedOver) {
        super(handedOver);
    }

    /** See {@link Transport#acceptAll}. */
    void acceptAll() throws IOException {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                accepted.forEach(pipeline()::fireChannelRead);
                accepted.clear();
            }
        } catch (IOException e) {
            throw e;
        } catch (Exception e) { // Netty throws the system's errors, checked or not
            throw new IOException(e);
        }
    }
}
