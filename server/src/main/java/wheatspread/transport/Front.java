package wheatspread.transport;

/** A protocol on the sockets that a {@link Listener} accepts. */
public interface Front {
    /** Creates the handler of a new connection. */
    ClientChannelHandler newHandler(Listener listener);

    /** The bytes that a rejected connection gets, where the limits say that it gets an answer. */
    byte[] rejectionBytes();
}
