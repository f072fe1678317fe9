package wheatspread.lab.scale;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import wheatspread.lab.rig.ProcessFigures;
import wheatspread.lab.standins.StandInAddress;

/**
 * One fleet of hollow and real servers in two regions of four zones each, with what the rig does to it. All real
 * servers stand in the first region. Everything that it started is ended when it is closed or the lab is interrupted.
 */
final class ScaleFleet implements AutoCloseable {
    private static final String CLUSTER = "scale";
    private static final int ZONES_OF_REGION = 4;
    private static final int REAL_SEEDS = 2;
    private static final int SEEDS = 3;

    private final RealServers real;
    private final List<HollowProcess> processes = new CopyOnWriteArrayList<>();
    private final Map<String, HollowProcess> processOf = new HashMap<>();
    private final Map<String, MemberSpec> alive = new LinkedHashMap<>();
    /** Hollow members that are not started yet. */
    private final Deque<MemberSpec> waiting = new ArrayDeque<>();

    private final List<MemberSpec> lost = new ArrayList<>();
    /** Every start that the rig has ended, as {@code name#start}. */
    private final Set<String> ended = new HashSet<>();

    private final Set<String> wronglyRemoved = new LinkedHashSet<>();
    private final Thread onInterrupt = new Thread(this::endProcesses, "end of the hollow servers");
    private final HollowPlan plan;
    private final int heapMb;
    private final long seed;
    private long lastStart = System.currentTimeMillis();

    /** Prepares a fleet; nothing of it runs yet. */
    ScaleFleet(ScaleSettings settings, int hollow, int realServers) throws IOException {
        plan = new HollowPlan(hollow, hollow + realServers);
        heapMb = plan.heapMb(Preflight.hollowMemoryMb(realServers));
        seed = settings.seed();
        real = new RealServers(settings, realServers);
        Runtime.getRuntime().addShutdownHook(onInterrupt);
        int firstOfSecondRegion = Math.max(0, hollow - (hollow + realServers) / 2);
        for (int i = 0; i < hollow; i++) {
            int region = i < firstOfSecondRegion ? 1 : 2;
            String name = "h" + (i + 1);
            waiting.add(new MemberSpec(name, lastStart, StandInAddress.format(real.freeAddress()), zone(region, i)));
        }
    }

    private static String zone(int region, int member) {
        return "r" + region + "-z" + (1 + member % ZONES_OF_REGION);
    }

    /** The zone that {@link FaultKind#ZONE} ends: one without real servers. */
    static String lostZone() {
        return zone(2, 0);
    }

    /** Starts the real servers and the processes of the hollow ones, which are empty as yet. */
    void start() throws IOException, InterruptedException {
        List<String> seeds = seeds();
        real.turnMembershipOn(
                CLUSTER,
                seeds,
                IntStream.range(0, real.size()).mapToObj(i -> zone(1, i)).toList());
        if (real.size() > 0) {
            real.rig().start();
        }
        for (int i = 0; i < plan.processes(); i++) {
            processes.add(new HollowProcess(CLUSTER, seeds, plan.loops(), heapMb, seed + i));
        }
        int next = 0;
        for (MemberSpec one : waiting) {
            processOf.put(one.name(), processes.get(next++ % processes.size()));
        }
    }

    /** Starts the next hollow members, so many at most; returns whether there were any. */
    boolean startNext(int most) throws IOException {
        List<MemberSpec> batch = new ArrayList<>();
        while (batch.size() < most && !waiting.isEmpty()) {
            batch.add(waiting.remove());
        }
        batch.forEach(one -> alive.put(one.name(), one));
        start(batch);
        return !batch.isEmpty();
    }

    private List<String> seeds() {
        Set<String> seeds = new LinkedHashSet<>(real.addresses()
                .subList(0, Math.min(plan.members() == 0 ? SEEDS : REAL_SEEDS, real.size())));
        List<MemberSpec> hollow = List.copyOf(waiting);
        for (int i = 0; i < SEEDS && !hollow.isEmpty(); i++) {
            seeds.add(hollow.get(i * (hollow.size() - 1) / (SEEDS - 1)).address());
        }
        return List.copyOf(seeds);
    }

    // ---- what befalls it ----

    private void start(Collection<MemberSpec> members) throws IOException {
        Map<HollowProcess, List<MemberSpec>> byProcess =
                members.stream().collect(Collectors.groupingBy(one -> processOf.get(one.name())));
        for (Map.Entry<HollowProcess, List<MemberSpec>> one : byProcess.entrySet()) {
            one.getKey().say(new HollowOrder.Start(one.getValue()));
        }
        for (HollowProcess one : byProcess.keySet()) {
            take(one.hear());
        }
    }

    /** Ends hollow members without a word. */
    void crash(Collection<MemberSpec> members) throws IOException {
        Set<String> names = members.stream().map(MemberSpec::name).collect(Collectors.toSet());
        for (MemberSpec one : members) {
            ended.add(one.id());
            lost.add(alive.remove(one.name()));
        }
        orderAll(new HollowOrder.Crash(names));
    }

    /** Starts again all that were crashed. */
    void startLost() throws IOException {
        List<MemberSpec> again = new ArrayList<>();
        for (MemberSpec one : lost) {
            again.add(one.restarted(nextStart()));
        }
        lost.clear();
        again.forEach(one -> alive.put(one.name(), one));
        start(again);
    }

    /** Restarts a hollow member; {@code clean}: it leaves first. */
    void restart(MemberSpec one, boolean clean) throws IOException {
        ended.add(one.id());
        MemberSpec later = one.restarted(nextStart());
        alive.put(one.name(), later);
        HollowProcess process = processOf.get(one.name());
        process.say(new HollowOrder.Restart(later, clean));
        take(process.hear());
    }

    private long nextStart() {
        lastStart = Math.max(lastStart + 1, System.currentTimeMillis());
        return lastStart;
    }

    /** Sets a loss on all links, but for those from real server to real server. */
    void lose(double share) throws IOException {
        orderAll(new HollowOrder.Links(new LinkFaults(share, Set.of(), Set.copyOf(real.addresses()))));
    }

    /** Cuts the fleet in two halves; all real servers are in the first. Returns how many stand in that. */
    int cutInHalves() throws IOException {
        Set<String> side = new HashSet<>(real.addresses());
        int half = (real.size() + alive.size()) / 2;
        alive.values().stream().limit(Math.max(0, half - real.size())).forEach(one -> side.add(one.address()));
        orderAll(new HollowOrder.Links(new LinkFaults(0, side, Set.copyOf(real.addresses()))));
        return side.size();
    }

    /** Ends all faults of links. */
    void mendLinks() throws IOException {
        orderAll(new HollowOrder.Links(LinkFaults.NONE));
    }

    // ---- what is seen of it ----

    /** Living hollow members in the order of their numbers. */
    List<MemberSpec> alive() {
        return alive.values().stream()
                .sorted((a, b) -> Integer.compare(number(a), number(b)))
                .toList();
    }

    private static int number(MemberSpec one) {
        return Integer.parseInt(one.name().substring(1));
    }

    /** Living members, hollow and real. */
    int members() {
        return alive.size() + real.size();
    }

    /** How many hollow members are ended and not started again. */
    int lost() {
        return lost.size();
    }

    RealServers real() {
        return real;
    }

    /** Largest heap of a process of hollow members. */
    int heapMb() {
        return heapMb;
    }

    HollowPlan plan() {
        return plan;
    }

    /** Members that went from a view while they lived, since this was asked last. */
    Set<String> takeWronglyRemoved() {
        Set<String> taken = new LinkedHashSet<>(wronglyRemoved);
        wronglyRemoved.clear();
        return taken;
    }

    private List<HollowReport> orderAll(HollowOrder order) throws IOException {
        for (HollowProcess one : processes) {
            one.say(order);
        }
        List<HollowReport> reports = new ArrayList<>();
        for (HollowProcess one : processes) {
            reports.add(take(one.hear()));
        }
        return reports;
    }

    private HollowReport take(HollowReport report) {
        removed(report.removed());
        return report;
    }

    private void removed(Set<String> ids) {
        ids.stream().filter(id -> !ended.contains(id)).forEach(wronglyRemoved::add);
    }

    /** What all members hold now. */
    Observation observe() throws IOException {
        List<HollowReport> reports = orderAll(new HollowOrder.Report());
        removed(real.look());
        Map<ViewKey, Integer> views = new LinkedHashMap<>();
        real.views().forEach(one -> views.merge(one, 1, Integer::sum));
        int hollow = 0;
        int old = 0;
        int outside = 0;
        int distrusting = 0;
        long messages = 0;
        long bytes = 0;
        long overRate = 0;
        for (HollowReport one : reports) {
            one.views().forEach((key, count) -> views.merge(ViewKey.parse(key), count, Integer::sum));
            hollow += one.alive();
            old += one.old();
            outside += one.outside();
            distrusting += one.distrusting();
            messages += one.sent();
            bytes += one.sentBytes();
            overRate += one.overRate();
        }
        int living = members();
        boolean agreed = hollow == alive.size()
                && old + outside == 0
                && views.size() == 1
                && views.entrySet().stream()
                        .allMatch(one -> one.getKey().members() == living && one.getValue() == living)
                && (real.size() == 0 || real.old() == 0);
        return new Observation(
                System.nanoTime(), living, views, old, outside, distrusting, messages, bytes, overRate, agreed);
    }

    /** Processor seconds of all hollow processes so far. */
    double hollowProcessorSeconds() throws IOException {
        double seconds = 0;
        for (HollowProcess one : processes) {
            seconds += ProcessFigures.processorSeconds(one.pid());
        }
        return seconds;
    }

    /** Resident bytes of all hollow processes. */
    double hollowResidentBytes() throws IOException {
        double bytes = 0;
        for (HollowProcess one : processes) {
            bytes += ProcessFigures.residentBytes(one.pid());
        }
        return bytes;
    }

    /** Bytes of heap that a collection leaves in all hollow processes, one after the other. */
    double hollowLiveHeapBytes() throws IOException, InterruptedException {
        double bytes = 0;
        for (HollowProcess one : processes) {
            bytes += ProcessFigures.liveHeapBytes(one.pid());
        }
        return bytes;
    }

    /** Open descriptors of all hollow processes. */
    int hollowDescriptors() throws IOException {
        int open = 0;
        for (HollowProcess one : processes) {
            open += ProcessFigures.descriptors(one.pid());
        }
        return open;
    }

    private synchronized void endProcesses() {
        processes.forEach(HollowProcess::close);
    }

    @Override
    public void close() {
        endProcesses();
        real.close();
        try {
            Runtime.getRuntime().removeShutdownHook(onInterrupt);
        } catch (IllegalStateException e) {
            return; // the lab is being interrupted, and the hook runs already
        }
    }
}
