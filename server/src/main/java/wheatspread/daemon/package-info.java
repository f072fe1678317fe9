/**
 * One server process, from its start to its exit.
 *
 * <p>Purpose: {@link wheatspread.daemon.Server} moves the components that {@code ServerFactory} creates through the
 * phases of the {@code Lifecycle}. {@code ShutdownSequence} describes the shutdown from SIGTERM to the exit,
 * {@code ConfigReloader} the handling of SIGHUP, and {@code ReloadApplier} the settings that a reload changes.
 *
 * <p>Owns: the event loop and its thread, the listeners, the lock, ready and report files, and the order in which
 * components are opened and closed.
 *
 * <p>Does not depend on the wire formats, the decisions of admission, or the command line.
 */
package wheatspread.daemon;
