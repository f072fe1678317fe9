/**
 * The phases of a server process, and the time limits of its drain.
 *
 * <p>{@link wheatspread.lifecycle.Lifecycle} defines the transitions between phases, and
 * {@link wheatspread.lifecycle.DrainDeadlines} the times of the steps of a drain. The package owns the current phase
 * and the exit code.
 *
 * <p>The package must not depend on clocks, sockets, signals, files or any other package of the server. Callers pass
 * the time as an argument, and {@code wheatspread.daemon} acts on the phases and steps.
 */
package wheatspread.lifecycle;
