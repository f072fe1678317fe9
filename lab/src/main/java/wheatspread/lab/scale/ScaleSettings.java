package wheatspread.lab.scale;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * What a scale run is to do.
 *
 * @param jar the real servers' program
 * @param flags the real servers' JVM flags, from the deploy file
 * @param real how many real servers stand in each fleet
 * @param rate requests a second for all real servers together
 * @param seed of all random draws
 * @param batch how many hollow servers are started at once while a fleet is formed; 0 for all
 * @param faults which faults are played
 */
public record ScaleSettings(
        Path jar, List<String> flags, int real, double rate, long seed, int batch, Set<FaultKind> faults) {
    public ScaleSettings {
        flags = List.copyOf(flags);
        faults = Set.copyOf(faults);
    }
}
