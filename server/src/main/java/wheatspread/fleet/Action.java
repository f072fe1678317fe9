package wheatspread.fleet;

/** What a supervisor is to do; each was written down in the fleet's state before. */
public sealed interface Action {
    String member();

    /** Start a process of a build as a generation of a member. */
    record Start(String member, String build, int generation) implements Action {}

    /** Give it the notice to leave. */
    record Notice(String member, int generation) implements Action {}

    /** End it outright. */
    record Kill(String member, int generation, String why) implements Action {}
}
