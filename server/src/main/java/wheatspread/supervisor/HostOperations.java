package wheatspread.supervisor;

import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.FleetState.RunningProcess;

/**
 * All that a supervisor does to the machine it runs on. It is an interface so that a test can crash the supervisor
 * before and after each step. The supervisor's thread makes all calls; they may block for the disk.
 */
interface HostOperations {
    /** The saved state; null if there is none. */
    FleetState loadState() throws IOException;

    /** Saves the state. When it returns, the state survives a crash of the machine. */
    void saveState(FleetState state) throws IOException;

    /** Starts a process of a build as a generation of an instance, and returns its process id. */
    long startProcess(String instance, String build, int generation) throws IOException;

    /** Sends SIGTERM to a process, if it still runs. */
    void sendSigterm(String instance, long pid);

    /** Sends SIGKILL to a process, if it still runs. */
    void sendSigkill(String instance, long pid);

    /** The process that holds the lock of an instance; null if none does. */
    RunningProcess lockHolder(String instance) throws IOException;

    /**
     * The exits since the last call, as exit codes by instance: those of processes that were started here and of
     * watched ones. The code of the latter is {@link FleetInstance#UNKNOWN_EXIT_CODE}.
     */
    Map<String, Integer> exitedProcesses();

    /** Reports the exit of a process that an earlier supervisor started. */
    void watchProcess(String instance, long pid);

    /**
     * Begins a health check. The result, null if there was no answer, is given to {@code result} by a later call of
     * {@link #deliverCheckResults}.
     */
    void checkHealth(String instance, int generation, Consumer<Health> result);

    /** Delivers the results of health checks that have come in since the last call, on the calling thread. */
    void deliverCheckResults();
}
