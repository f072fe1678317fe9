/**
 * Constant-time timers for the event loop. The package owns the order in which timers expire. It must not depend on
 * the purpose of the timers and reads no clock: callers pass the time in microseconds.
 */
package wheatspread.timers;
