/**
 * Connects the admission controller to the simulator's wire, so that the simulator measures the code that the server
 * runs. The package owns the names of that wire and the simulated instances. It holds no decision logic and must not
 * depend on the server's own wires, processes or clocks.
 */
package wheatspread.sim;
