package wheatspread.scheduling;

/**
 * The budget of one read of a connection. It limits the messages that the read processes, so that a client that sends
 * many small messages delays other clients by one such read at a time. Messages that are answered at once, such as
 * malformed ones, have a lower limit: clients that keep to the protocols send few of them. Used on the event loop only.
 */
public final class ReadBudget {
    private final int maxMessages;
    private final int maxImmediateAnswers;
    private int messages;
    private int immediateAnswers;
    private long exhaustedReads;

    ReadBudget(int maxMessages, int maxImmediateAnswers) {
        this.maxMessages = maxMessages;
        this.maxImmediateAnswers = maxImmediateAnswers;
    }

    /** Starts the read of a connection and resets the budget. */
    public void beginRead() {
        messages = 0;
        immediateAnswers = 0;
    }

    /** Counts a message that was read. */
    public void countMessage() {
        messages++;
    }

    /** Counts a message that is answered without the core; {@link #countMessage} counts it as well. */
    public void countImmediateAnswer() {
        immediateAnswers++;
    }

    /** Returns whether the read must stop, and leave further messages to the next iteration. */
    public boolean isExhausted() {
        return messages >= maxMessages || immediateAnswers >= maxImmediateAnswers;
    }

    /** Counts a read that stopped before the last message received. */
    public void countExhaustedRead() {
        exhaustedReads++;
    }

    /** Returns the number of reads since the start that stopped before the last message received. */
    public long exhaustedReads() {
        return exhaustedReads;
    }
}
