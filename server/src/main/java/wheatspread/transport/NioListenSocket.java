package wheatspread.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket on the JDK's selectors whose queue can be emptied before it closes. */
public final class NioListenSocket extends NioServerSocketChannel {
    /** Netty makes one of the class. */
    public NioListenSocket() {}

    NioListenSocket(ServerSocketChannel handedOver) {
        super(handedOver);
    }

    /** See {@link Transport#acceptAll}. */
    void acceptAll() throws IOException {
        List<Object> taken = new ArrayList<>();
        try {
            while (doReadMessages(taken) > 0) {
                taken.forEach(pipeline()::fireChannelRead);
                taken.clear();
            }
        } catch (IOException e) {
            throw e;
        } catch (Exception e) { // Netty throws what the system said, checked or not
            throw new IOException(e);
        }
    }
}
