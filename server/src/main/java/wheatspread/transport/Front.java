package wheatspread.transport;

/** The protocol of the connections that a {@link Listener} accepts. */
public interface Front {
    /** Creates the channel handler of a new connection. Event loop only. */
    ClientChannelHandler newHandler(Listener listener);

    /** Returns the bytes written to a rejected connection if the limits' {@code rejection} is ANSWER. */
    byte[] rejectionBytes();
}
