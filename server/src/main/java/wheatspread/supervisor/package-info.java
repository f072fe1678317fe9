/**
 * The supervisor process, which runs a fleet of servers on one machine.
 *
 * <p>Purpose: {@link wheatspread.supervisor.FleetRunner} runs turns on one thread. In each turn a {@code Supervisor}
 * reports its observations to the {@code FleetController}, saves the state, and carries out the returned actions.
 *
 * <p>Owns: the files of the fleet's directory (state, status, commands, and each instance's log), the supervisor's
 * lock, the child processes, and the connections of health checks.
 *
 * <p>Does not decide when an instance is started, drained or killed ({@code wheatspread.fleet} does), and does not
 * depend on how a server serves requests.
 */
package wheatspread.supervisor;
