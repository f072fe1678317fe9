/**
 * The event log: event names with fields, as text or JSON, with a rate limit for each name. This package defines the
 * format of lines and configures Logback. It is independent of the set of events.
 */
package wheatspread.logging;
