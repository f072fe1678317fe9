package wheatspread.sim;

import java.util.List;
import wheatspread.admission.AdmissionController;

/** One simulated server process; {@code gaugeNames} gives the order of its gauge readings. */
record SimulatedInstance(AdmissionController controller, List<String> gaugeNames) {}
