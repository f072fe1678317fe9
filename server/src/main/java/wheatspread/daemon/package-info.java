/**
 * One server process, from its start to its exit.
 *
 * <p>Job: {@link wheatspread.daemon.Server} takes the parts that {@code ServerFactory} creates through the phases of
 * the {@code Lifecycle}. Three more classes each describe one course of events: {@code ShutdownSequence} what happens
 * from SIGTERM to the exit, {@code ConfigReloader} what SIGHUP does, and {@code ReloadApplier} what a reload changes.
 *
 * <p>Owns: the event loop and its thread, the listeners, the lock, ready and report files, and the order in which parts
 * are opened and closed.
 *
 * <p>Must not know: the wire formats, the decisions of admission, or the command line.
 */
package wheatspread.daemon;
