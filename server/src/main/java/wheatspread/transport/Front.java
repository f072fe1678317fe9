package wheatspread.transport;

/** What a protocol makes of the sockets that a {@link Listener} accepts. */
public interface Front {
    /** The handler of one more caller. */
    ClientChannelHandler caller(Listener listener);

    /** What one that can't be taken gets, where the limits say that it gets an answer. */
    byte[] refusal();
}
