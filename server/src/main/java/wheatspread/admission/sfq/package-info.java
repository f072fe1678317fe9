/**
 * Admission control by SFQ(D), start-time fair queuing with a depth: decides which requests are admitted, held,
 * started, shed or given up, when dependency calls are made, and what load feedback clients get. Owns all state
 * of these decisions. Must not read a clock, a random source other than its seed, a file or a socket: equal events
 * give equal actions.
 */
package wheatspread.admission.sfq;
