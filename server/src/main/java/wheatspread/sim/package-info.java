/**
 * Puts the admission decisions on the simulator's wire, so that the simulator measures what the server runs. Owns the
 * names of that wire and the simulated instances. Holds no decision logic and must not know the server's own wires,
 * processes or clocks.
 */
package wheatspread.sim;
