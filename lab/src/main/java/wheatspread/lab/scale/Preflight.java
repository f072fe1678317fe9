package wheatspread.lab.scale;

import java.io.IOException;

/** Checks, before anything is started, whether this machine has the resources for a fleet. */
public final class Preflight {
    /** Largest share of the machine's memory that a run may take. */
    private static final double MAX_MEMORY_SHARE = 0.5;

    private static final int MAX_PROCESSES = 300;
    /** Memory of a real server. */
    private static final int REAL_SERVER_MB = 130;

    /** Memory of the lab's own process, with the load generator and the stand-ins. */
    private static final int LAB_MB = 768;
    /** Descriptors of the lab's process per real server: kernel links, dependency calls and clients. */
    private static final int LAB_DESCRIPTORS_PER_REAL_SERVER = 64;

    private static final int LAB_DESCRIPTORS = 512;

    private Preflight() {}

    /** The memory of a machine and the descriptor limit of its processes. */
    record Resources(long totalMb, long availableMb, long descriptors) {
        static Resources ofThisMachine() throws IOException {
            return new Resources(
                    MachineResources.memoryMb("MemTotal"),
                    MachineResources.memoryMb("MemAvailable"),
                    MachineResources.maxDescriptors());
        }
    }

    /** Memory in MB that this machine has for hollow processes when it also runs {@code real} real servers. */
    static long hollowMemoryMb(int real) throws IOException {
        Resources resources = Resources.ofThisMachine();
        long maxMb = Math.min(Math.round(MAX_MEMORY_SHARE * resources.totalMb), resources.availableMb);
        return maxMb - (long) real * REAL_SERVER_MB - LAB_MB;
    }

    /**
     * Returns the reason, in one line, why this machine cannot run a fleet of {@code hollow} and {@code real} servers;
     * null if it can.
     */
    public static String refusal(int hollow, int real) throws IOException {
        return refusal(hollow, real, Resources.ofThisMachine());
    }

    static String refusal(int hollow, int real, Resources resources) {
        HollowPlan plan = new HollowPlan(hollow, hollow + real);
        long memoryMb = (long) plan.memoryMb() + (long) real * REAL_SERVER_MB + LAB_MB;
        int processes = plan.processes() + real + 1;
        long descriptors =
                Math.max(plan.descriptors(), LAB_DESCRIPTORS + (long) real * LAB_DESCRIPTORS_PER_REAL_SERVER);
        String fleet = hollow + " hollow and " + real + " real servers want ";
        if (memoryMb > MAX_MEMORY_SHARE * resources.totalMb) {
            return fleet + memoryMb + " MB of memory; half of this machine's is " + resources.totalMb / 2 + " MB";
        }
        if (memoryMb > resources.availableMb) {
            return fleet + memoryMb + " MB of memory; " + resources.availableMb + " MB are available now";
        }
        if (processes > MAX_PROCESSES) {
            return fleet + processes + " processes; allowed are " + MAX_PROCESSES;
        }
        if (descriptors > resources.descriptors) {
            return fleet + descriptors + " descriptors in a process; the limit is " + resources.descriptors;
        }
        return null;
    }
}
