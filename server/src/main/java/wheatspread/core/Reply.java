package wheatspread.core;

/** Receives the final answer to one attempt; the core calls it at most once. */
public interface Reply {
    /** Receives the answer, on the core's thread. */
    void answer(Answer answer);
}
