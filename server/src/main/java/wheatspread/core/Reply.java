package wheatspread.core;

/** Where the final answer to one try goes; the core calls it at most once. */
public interface Reply {
    void answer(Answer answer);
}
