package wheatspread.lab.scale;

/**
 * How many processes carry a number of hollow servers, and how large they are.
 *
 * @param members hollow servers in all
 * @param fleet all members of the fleet, with the real servers
 */
public record HollowPlan(int members, int fleet) {
    /** Members of one process at most. */
    static final int MOST_IN_PROCESS = 350;

    private static final int LEAST_LOOPS = 4;
    private static final double HEAP_BASE_MB = 128;
    /** A member's share of the heap at least, and what each other member of its view adds; with room for garbage. */
    private static final double HEAP_MEMBER_MB = 1;

    private static final double HEAP_MEMBER_OF_VIEW_MB = 0.0036;
    /** The same for a round of the agreement: each member keeps every other's promise, with the change it voted for. */
    private static final double HEAP_MEMBER_OF_ROUND_MB = 0.02;

    private static final int OUTSIDE_HEAP_MB = 160;
    /** A datagram socket and a listening one; streams are few and short. */
    private static final int DESCRIPTORS_OF_MEMBER = 2;

    private static final int DESCRIPTORS_BESIDE = 1_000;

    /** How many processes. */
    int processes() {
        return (members + MOST_IN_PROCESS - 1) / MOST_IN_PROCESS;
    }

    /** Members of the process of that index: as many as the others, or one more. */
    int membersOf(int process) {
        int all = Math.max(1, processes());
        return members / all + (process < members % all ? 1 : 0);
    }

    /** Event loops of a process: all processes together have at least one for each core. */
    int loops() {
        return Math.max(LEAST_LOOPS, MachineResources.cores() / Math.max(1, processes()));
    }

    /** The least Java heap of a process with which a fleet can be formed. */
    int leastHeapMb() {
        return heapMb(HEAP_MEMBER_OF_VIEW_MB);
    }

    private int heapMb(double ofOthers) {
        return (int) Math.ceil(HEAP_BASE_MB + membersOf(0) * (HEAP_MEMBER_MB + ofOthers * fleet));
    }

    /** The largest Java heap of a process: what rounds want, where all processes may take so much memory together. */
    int heapMb(long memoryMb) {
        long most = memoryMb / Math.max(1, processes()) - OUTSIDE_HEAP_MB;
        return (int) Math.max(leastHeapMb(), Math.min(most, heapMb(HEAP_MEMBER_OF_ROUND_MB)));
    }

    /** Memory that all processes take at least, heap and the rest. */
    int memoryMb() {
        return processes() * (leastHeapMb() + OUTSIDE_HEAP_MB);
    }

    /** Descriptors that one process may open. */
    int descriptors() {
        return membersOf(0) * DESCRIPTORS_OF_MEMBER + DESCRIPTORS_BESIDE;
    }
}
