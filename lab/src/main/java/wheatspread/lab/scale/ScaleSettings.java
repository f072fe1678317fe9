package wheatspread.lab.scale;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The settings of a scale run.
 *
 * @param jar program file of the real servers
 * @param flags JVM flags of the real servers, from the deploy file
 * @param real number of real servers in each fleet
 * @param rate requests per second to all real servers together
 * @param seed seed of all random draws
 * @param batch number of hollow servers started at the same time while a fleet forms; 0 for all
 * @param faults the faults to inject
 */
public record ScaleSettings(
        Path jar, List<String> flags, int real, double rate, long seed, int batch, Set<FaultKind> faults) {
    public ScaleSettings {
        flags = List.copyOf(flags);
        faults = Set.copyOf(faults);
    }
}
