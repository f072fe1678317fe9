/**
 * Timers in constant time for the event loop. The package owns the order in which timers expire. It must not know
 * what the timers are for, and reads no clock: its users pass the time, in microseconds.
 */
package wheatspread.timers;
