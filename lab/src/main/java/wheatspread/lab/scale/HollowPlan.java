package wheatspread.lab.scale;

/**
 * The number and the size of the processes that run a number of hollow servers.
 *
 * @param members number of hollow servers
 * @param fleet number of all members of the fleet, real servers included
 */
public record HollowPlan(int members, int fleet) {
    /** Largest number of members in one process. */
    static final int MAX_MEMBERS_PER_PROCESS = 350;

    private static final int MIN_LOOPS = 4;
    private static final double HEAP_BASE_MB = 128;
    /** Heap of a member alone; includes room for garbage. */
    private static final double HEAP_PER_MEMBER_MB = 1;

    /** Heap that each entry of a member's view adds; includes room for garbage. */
    private static final double HEAP_PER_VIEW_ENTRY_MB = 0.0036;
    /**
     * Heap that each entry of a member's view adds during a round of the view agreement: each member keeps the
     * promise of every other member, with the change that the other member voted for.
     */
    private static final double HEAP_PER_ROUND_ENTRY_MB = 0.02;

    private static final int NON_HEAP_MB = 160;
    /** A datagram socket and a listening socket; stream connections are few and short-lived. */
    private static final int DESCRIPTORS_PER_MEMBER = 2;

    private static final int OTHER_DESCRIPTORS = 1_000;

    int processes() {
        return (members + MAX_MEMBERS_PER_PROCESS - 1) / MAX_MEMBERS_PER_PROCESS;
    }

    /** Number of members in the process of that index. Processes differ by one member at most. */
    int membersOf(int process) {
        int count = Math.max(1, processes());
        return members / count + (process < members % count ? 1 : 0);
    }

    /** Number of event loops per process; all processes together have at least one loop per core. */
    int loops() {
        return Math.max(MIN_LOOPS, MachineResources.cores() / Math.max(1, processes()));
    }

    /** Smallest Java heap of a process, in MB, with which a fleet can be formed. */
    int minHeapMb() {
        return heapMb(HEAP_PER_VIEW_ENTRY_MB);
    }

    private int heapMb(double perViewEntryMb) {
        return (int) Math.ceil(HEAP_BASE_MB + membersOf(0) * (HEAP_PER_MEMBER_MB + perViewEntryMb * fleet));
    }

    /**
     * Largest Java heap of a process, in MB: the heap that rounds of the view agreement need, limited so that all
     * processes together fit into {@code memoryMb}, but not below {@link #minHeapMb}.
     */
    int heapMb(long memoryMb) {
        long maxHeapMb = memoryMb / Math.max(1, processes()) - NON_HEAP_MB;
        return (int) Math.max(minHeapMb(), Math.min(maxHeapMb, heapMb(HEAP_PER_ROUND_ENTRY_MB)));
    }

    /** Smallest memory of all processes together, in MB: heap and memory outside the heap. */
    int memoryMb() {
        return processes() * (minHeapMb() + NON_HEAP_MB);
    }

    /** Largest number of descriptors that one process opens. */
    int descriptors() {
        return membersOf(0) * DESCRIPTORS_PER_MEMBER + OTHER_DESCRIPTORS;
    }
}
