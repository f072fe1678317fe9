/**
 * The life of a request in this server, independent of any protocol: it takes attempts from the fronts, hands them
 * to the admission controller, carries out its decisions, and gives each attempt exactly one final answer.
 *
 * <p>The package owns the attempts in flight, idempotency keys and their results, dependency calls, the drain, the
 * health state and the counters. {@link wheatspread.core.Core} is its entry; {@link wheatspread.core.Kernel},
 * {@link wheatspread.core.RecordsService}, {@link wheatspread.core.Announcer}, {@link wheatspread.core.Clock} and
 * {@link wheatspread.core.IdempotencyClaims} are what it needs from outside. All of it runs on one thread.
 *
 * <p>It must not know any wire, socket or file, nor the packages that implement its interfaces; of the rest of the
 * server it uses only {@code admission} and {@code logging}.
 */
package wheatspread.core;
