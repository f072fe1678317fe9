package wheatspread.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket on the JDK's selectors whose accept queue can be drained before it is closed. */
public final class NioListenSocket extends NioServerSocketChannel {
    /** Creates an unbound socket; Netty calls this constructor by reflection. */
    public NioListenSocket() {}

    NioListenSocket(ServerSocketChannel inherited) {
        super(inherited);
    }

    /** Implements {@link Transport#acceptAll}. */
    void acceptAll() throws IOException {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                accepted.forEach(pipeline()::fireChannelRead);
                accepted.clear();
            }
        } catch (IOException e) {
            throw e;
        } catch (Exception e) { // Netty reports system errors by checked or unchecked exceptions
            throw new IOException(e);
        }
    }
}
