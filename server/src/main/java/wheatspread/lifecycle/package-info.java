/**
 * The phases of a server process, and the time limits of its drain.
 *
 * <p>Job: {@link wheatspread.lifecycle.Lifecycle} says which event leads from which phase to which, and
 * {@link wheatspread.lifecycle.DrainDeadlines} what a drain does at which time.
 *
 * <p>Owns: the current phase and the exit code.
 *
 * <p>Must not know: clocks, sockets, signals, files, or anything else of the program. Every call gets the time;
 * {@code wheatspread.daemon} carries out what follows.
 */
package wheatspread.lifecycle;
