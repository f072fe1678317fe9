package wheatspread.supervisor;

import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.FleetState.Found;

/**
 * All that a supervisor does to the machine it runs on, so that a test can let any step of it fail. One
 * thread calls it.
 */
interface HostOperations {
    /** What was written down; null if nothing was. */
    FleetState load() throws IOException;

    /** Writes the state down; when it returns, the state outlives a crash. */
    void save(FleetState state) throws IOException;

    /** Starts a process as a generation of a member, and returns its number. */
    long start(String member, String build, int generation) throws IOException;

    /** SIGTERM. */
    void terminate(String member, long pid);

    /** SIGKILL. */
    void kill(String member, long pid);

    /** The process that holds a member's lock; null if none does. */
    Found holder(String member) throws IOException;

    /** The members whose processes were started here or found and have ended since, with their exit codes. */
    Map<String, Integer> ended();

    /** Watches a process that an earlier supervisor started. */
    void watch(String member, long pid);

    /**
     * Asks a member how it is; the answer comes later, null for none, on the thread that calls {@link #pump}.
     */
    void check(String member, int generation, Consumer<Health> answer);

    /** Hands out the answers that came. */
    void pump();
}
