/**
 * Request handling, independent of any protocol: accepts attempts from the fronts, passes them to the admission
 * controller, carries out its decisions, and sends each attempt exactly one final answer.
 *
 * <p>The package owns the attempts in flight, idempotency keys and their results, dependency calls, the drain, the
 * health state and the counters. {@link wheatspread.core.Core} is its entry point. {@link wheatspread.core.Kernel},
 * {@link wheatspread.core.RecordsService}, {@link wheatspread.core.Announcer}, {@link wheatspread.core.Clock} and
 * {@link wheatspread.core.IdempotencyClaims} are the interfaces that other packages implement. All code in the
 * package runs on one thread.
 *
 * <p>The package must not depend on a wire protocol, on sockets or files, nor on the packages that implement its
 * interfaces. Of the rest of the server it uses only {@code admission} and {@code logging}.
 */
package wheatspread.core;
