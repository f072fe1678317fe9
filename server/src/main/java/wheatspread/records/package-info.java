/**
 * The client of the records service, which runs call as a dependency. The package owns the pool of connections and
 * the calls without a reply. It must not depend on the run of a call beyond the run's id, nor on whether a failed
 * call is retried.
 */
package wheatspread.records;
