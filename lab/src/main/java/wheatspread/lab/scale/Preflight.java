package wheatspread.lab.scale;

import java.io.IOException;

/** Whether this machine can carry a fleet, before anything of it is started. */
public final class Preflight {
    /** The most of the machine's memory that a run may take. */
    private static final double MOST_OF_MEMORY = 0.5;

    private static final int MOST_PROCESSES = 300;
    private static final int REAL_MB = 130;
    /** The lab's own process, with the load and the stand-ins. */
    private static final int LAB_MB = 768;
    /** Descriptors of the lab's process for each real server: links, calls and callers. */
    private static final int LAB_DESCRIPTORS_OF_REAL = 64;

    private static final int LAB_DESCRIPTORS = 512;

    private Preflight() {}

    /** What a machine offers. */
    record Offer(long totalMb, long availableMb, long descriptors) {
        static Offer ofThisMachine() throws IOException {
            return new Offer(
                    MachineResources.memoryMb("MemTotal"),
                    MachineResources.memoryMb("MemAvailable"),
                    MachineResources.mostDescriptors());
        }
    }

    /** Memory that is left on this machine for hollow processes beside so many real servers. */
    static long hollowMemoryMb(int real) throws IOException {
        Offer offer = Offer.ofThisMachine();
        long most = Math.min(Math.round(MOST_OF_MEMORY * offer.totalMb), offer.availableMb);
        return most - (long) real * REAL_MB - LAB_MB;
    }

    /** Why a fleet of so many hollow and real servers cannot be started here, in one line; null where it can. */
    public static String refusal(int hollow, int real) throws IOException {
        return refusal(hollow, real, Offer.ofThisMachine());
    }

    static String refusal(int hollow, int real, Offer offer) {
        HollowPlan plan = new HollowPlan(hollow, hollow + real);
        long memory = (long) plan.memoryMb() + (long) real * REAL_MB + LAB_MB;
        int processes = plan.processes() + real + 1;
        long descriptors = Math.max(plan.descriptors(), LAB_DESCRIPTORS + (long) real * LAB_DESCRIPTORS_OF_REAL);
        String fleet = hollow + " hollow and " + real + " real servers want ";
        if (memory > MOST_OF_MEMORY * offer.totalMb) {
            return fleet + memory + " MB of memory; half of this machine's is " + offer.totalMb / 2 + " MB";
        }
        if (memory > offer.availableMb) {
            return fleet + memory + " MB of memory; " + offer.availableMb + " MB are available now";
        }
        if (processes > MOST_PROCESSES) {
            return fleet + processes + " processes; allowed are " + MOST_PROCESSES;
        }
        if (descriptors > offer.descriptors) {
            return fleet + descriptors + " descriptors in a process; the limit is " + offer.descriptors;
        }
        return null;
    }
}
