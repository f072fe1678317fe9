/**
 * Admission control by SFQ(D), start-time fair queuing with a concurrency limit D. The package decides which requests
 * are admitted, held, started, shed or abandoned, when dependency calls are made, and which load feedback clients get.
 * It owns all state of these decisions. It must not read a clock, a file or a socket, nor use a random source other
 * than its seed, so that equal events give equal actions.
 */
package wheatspread.admission.sfq;
