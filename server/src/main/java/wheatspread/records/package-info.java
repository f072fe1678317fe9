/**
 * The client of the records service, which running requests call. It owns the pool of connections and the
 * calls without a reply. It does not know which run a call belongs to beyond its id, nor whether a failed
 * call is retried.
 */
package wheatspread.records;
