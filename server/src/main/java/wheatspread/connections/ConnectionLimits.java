package wheatspread.connections;

/**
 * What holds for the connections of one front. Times are microseconds.
 *
 * @param mostConnections connections at a time
 * @param mostOfSource connections of one address at a time; 0 for no bound but the one for all
 * @param acceptsPerSecond how fast connections are accepted; 0 for no bound
 * @param acceptBurst how many may be accepted at once after a pause
 * @param firstRequest who has said nothing by then is closed
 * @param wholeRequest a message that began must be whole by then
 * @param idle who rests longer is closed; 0 for never
 * @param lingering a connection that only has to be closed is cut off after that, unless it takes its answers
 * @param toSpeak who has said nothing for longer makes room before all others
 * @param mostHeld bytes of messages that are not whole, of all connections together
 * @param mostWaiting bytes that wait to be written to callers that do not read, of all connections together
 * @param refusal what a connection gets that can't be taken
 */
public record ConnectionLimits(
        int mostConnections,
        int mostOfSource,
        int acceptsPerSecond,
        int acceptBurst,
        long firstRequest,
        long wholeRequest,
        long idle,
        long lingering,
        long toSpeak,
        long mostHeld,
        long mostWaiting,
        Refusal refusal) {
    /** What a connection gets that can't be taken: the end, a reset, or an answer and the end. */
    public enum Refusal {
        CLOSE,
        RESET,
        ANSWER
    }

    /** What holds unless an operator's file says otherwise. */
    public static ConnectionLimits usual(int mostConnections) {
        return new ConnectionLimits(
                mostConnections,
                0,
                0,
                1_000,
                2_000_000,
                2_000_000,
                0,
                2_000_000,
                200_000,
                8 << 20,
                12 << 20,
                Refusal.CLOSE);
    }

    /** The same with room for so many. */
    public ConnectionLimits with(int connections) {
        return new ConnectionLimits(
                connections,
                mostOfSource,
                acceptsPerSecond,
                acceptBurst,
                firstRequest,
                wholeRequest,
                idle,
                lingering,
                toSpeak,
                mostHeld,
                mostWaiting,
                refusal);
    }
}
