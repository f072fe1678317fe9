package wheatspread.sim;

import java.util.List;
import wheatspread.admission.AdmissionController;

/**
 * One simulated server process.
 *
 * @param controller admission controller of the process
 * @param gaugeNames names of the gauges, in the order of their readings on the wire
 */
record SimulatedInstance(AdmissionController controller, List<String> gaugeNames) {}
