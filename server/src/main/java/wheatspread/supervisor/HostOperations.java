package wheatspread.supervisor;

import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.FleetState.RunningProcess;

/**
 * The operations of a supervisor on its machine. This is an interface so that a test can crash the supervisor before
 * and after each operation. The supervisor's thread makes all calls; they may block for the disk.
 */
interface HostOperations {
    /** Returns the saved state; null if there is none. */
    FleetState loadState() throws IOException;

    /** Saves the state. When it returns, the state survives a crash of the machine. */
    void saveState(FleetState state) throws IOException;

    /** Starts a process of a build with the given generation number, and returns its process id. */
    long startProcess(String instance, String build, int generation) throws IOException;

    /** Sends SIGTERM to a process; does nothing if it has exited. */
    void sendSigterm(String instance, long pid);

    /** Sends SIGKILL to a process; does nothing if it has exited. */
    void sendSigkill(String instance, long pid);

    /** Returns the process that holds the lock of an instance; null if the lock is free. */
    RunningProcess lockHolder(String instance) throws IOException;

    /**
     * Returns the exit codes, by instance, of the started and watched processes that have exited since the last call.
     * The code of a watched process is {@link FleetInstance#UNKNOWN_EXIT_CODE}.
     */
    Map<String, Integer> takeExitedProcesses();

    /** Adds a process of an earlier supervisor to those that {@link #takeExitedProcesses} reports. */
    void watchProcess(String instance, long pid);

    /**
     * Starts a health check. A later call of {@link #deliverCheckResults} passes the answer to {@code result}; null if
     * the instance did not answer.
     */
    void checkHealth(String instance, int generation, Consumer<Health> result);

    /** Delivers the results of the health checks that finished since the last call, on the calling thread. */
    void deliverCheckResults();
}
