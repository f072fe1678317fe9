/**
 * The process that supervises a fleet on one machine.
 *
 * <p>Job: {@link wheatspread.supervisor.FleetRunner} runs turns on one thread; in each, a {@code Supervisor} reports
 * to the {@code FleetController} what it sees, saves the state, and carries out the actions that were decided.
 *
 * <p>Owns: the files of the fleet's directory (state, status, commands, and each instance's log), the supervisor's
 * lock, the child processes, and the connections of health checks.
 *
 * <p>Must not know: when an instance is started, drained or killed, and why ({@code wheatspread.fleet} decides that),
 * nor how a server serves requests.
 */
package wheatspread.supervisor;
