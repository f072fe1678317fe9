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
 * A fleet of hollow and real servers in two regions of four zones each, and the faults injected into it. All real
 * servers are in the first region. All processes are stopped when the fleet is closed or the lab is interrupted.
 */
final class ScaleFleet implements AutoCloseable {
    private static final String CLUSTER = "scale";
    private static final int ZONES_OF_REGION = 4;
    /** Largest number of real servers among the seeds of a fleet that also has hollow ones. */
    private static final int REAL_SEEDS = 2;

    /** Number of hollow seeds, and of real seeds in a fleet of real servers only. */
    private static final int SEEDS = 3;

    private final RealServers real;
    private final List<HollowProcess> processes = new CopyOnWriteArrayList<>();
    private final Map<String, HollowProcess> processesByMember = new HashMap<>();
    private final Map<String, MemberSpec> alive = new LinkedHashMap<>();
    /** Hollow members that have not been started yet. */
    private final Deque<MemberSpec> notStarted = new ArrayDeque<>();

    private final List<MemberSpec> crashed = new ArrayList<>();
    /** Every start of a member that the rig has ended, as {@code name#start}. */
    private final Set<String> ended = new HashSet<>();

    private final Set<String> wronglyRemoved = new LinkedHashSet<>();
    private final Thread shutdownHook = new Thread(this::stopProcesses, "end of the hollow servers");
    private final HollowPlan plan;
    private final int heapMb;
    private final long seed;
    private long lastStart = System.currentTimeMillis();

    /** Prepares a fleet without starting it. */
    ScaleFleet(ScaleSettings settings, int hollow, int realServers) throws IOException {
        plan = new HollowPlan(hollow, hollow + realServers);
        heapMb = plan.heapMb(Preflight.hollowMemoryMb(realServers));
        seed = settings.seed();
        real = new RealServers(settings, realServers);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        int firstOfSecondRegion = Math.max(0, hollow - (hollow + realServers) / 2);
        for (int i = 0; i < hollow; i++) {
            int region = i < firstOfSecondRegion ? 1 : 2;
            String name = "h" + (i + 1);
            notStarted.add(new MemberSpec(name, lastStart, StandInAddress.format(real.freeAddress()), zone(region, i)));
        }
    }

    private static String zone(int region, int member) {
        return "r" + region + "-z" + (1 + member % ZONES_OF_REGION);
    }

    /** The zone that {@link FaultKind#ZONE} crashes; it has no real servers. */
    static String crashedZone() {
        return zone(2, 0);
    }

    /** Starts the real servers and the processes for the hollow ones, without any hollow member. */
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
        for (MemberSpec member : notStarted) {
            processesByMember.put(member.name(), processes.get(next++ % processes.size()));
        }
    }

    /** Starts the next hollow members, {@code maxMembers} at most; returns whether any was started. */
    boolean startNext(int maxMembers) throws IOException {
        List<MemberSpec> batch = new ArrayList<>();
        while (batch.size() < maxMembers && !notStarted.isEmpty()) {
            batch.add(notStarted.remove());
        }
        batch.forEach(member -> alive.put(member.name(), member));
        start(batch);
        return !batch.isEmpty();
    }

    private List<String> seeds() {
        Set<String> seeds = new LinkedHashSet<>(real.addresses()
                .subList(0, Math.min(plan.members() == 0 ? SEEDS : REAL_SEEDS, real.size())));
        List<MemberSpec> hollow = List.copyOf(notStarted);
        for (int i = 0; i < SEEDS && !hollow.isEmpty(); i++) {
            seeds.add(hollow.get(i * (hollow.size() - 1) / (SEEDS - 1)).address());
        }
        return List.copyOf(seeds);
    }

    // ---- starts and faults ----

    private void start(Collection<MemberSpec> members) throws IOException {
        Map<HollowProcess, List<MemberSpec>> byProcess =
                members.stream().collect(Collectors.groupingBy(member -> processesByMember.get(member.name())));
        for (Map.Entry<HollowProcess, List<MemberSpec>> entry : byProcess.entrySet()) {
            entry.getKey().send(new HollowOrder.Start(entry.getValue()));
        }
        for (HollowProcess process : byProcess.keySet()) {
            accept(process.readReport());
        }
    }

    /** Crashes hollow members: they close their sockets without notifying their peers. */
    void crash(Collection<MemberSpec> members) throws IOException {
        Set<String> names = members.stream().map(MemberSpec::name).collect(Collectors.toSet());
        for (MemberSpec member : members) {
            ended.add(member.id());
            crashed.add(alive.remove(member.name()));
        }
        sendToAll(new HollowOrder.Crash(names));
    }

    /** Starts all crashed members again. */
    void restartCrashed() throws IOException {
        List<MemberSpec> restarted = new ArrayList<>();
        for (MemberSpec member : crashed) {
            restarted.add(member.withStart(nextStart()));
        }
        crashed.clear();
        restarted.forEach(member -> alive.put(member.name(), member));
        start(restarted);
    }

    /** Restarts a hollow member; {@code clean} says whether the member leaves the fleet first. */
    void restart(MemberSpec member, boolean clean) throws IOException {
        ended.add(member.id());
        MemberSpec next = member.withStart(nextStart());
        alive.put(member.name(), next);
        HollowProcess process = processesByMember.get(member.name());
        process.send(new HollowOrder.Restart(next, clean));
        accept(process.readReport());
    }

    private long nextStart() {
        lastStart = Math.max(lastStart + 1, System.currentTimeMillis());
        return lastStart;
    }

    /** Sets the message loss of all links except those between two real servers. */
    void setLoss(double share) throws IOException {
        sendToAll(new HollowOrder.Links(new LinkFaults(share, Set.of(), Set.copyOf(real.addresses()))));
    }

    /** Partitions the fleet into two halves, with all real servers in the first; returns the size of the first half. */
    int partitionInHalves() throws IOException {
        Set<String> side = new HashSet<>(real.addresses());
        int half = (real.size() + alive.size()) / 2;
        alive.values().stream().limit(Math.max(0, half - real.size())).forEach(member -> side.add(member.address()));
        sendToAll(new HollowOrder.Links(new LinkFaults(0, side, Set.copyOf(real.addresses()))));
        return side.size();
    }

    /** Ends all link faults. */
    void healLinks() throws IOException {
        sendToAll(new HollowOrder.Links(LinkFaults.NONE));
    }

    // ---- state and figures ----

    /** Live hollow members in the order of their numbers. */
    List<MemberSpec> alive() {
        return alive.values().stream()
                .sorted((a, b) -> Integer.compare(number(a), number(b)))
                .toList();
    }

    private static int number(MemberSpec member) {
        return Integer.parseInt(member.name().substring(1));
    }

    /** Number of live members, hollow and real. */
    int members() {
        return alive.size() + real.size();
    }

    /** Number of crashed hollow members that have not been started again. */
    int crashed() {
        return crashed.size();
    }

    RealServers real() {
        return real;
    }

    /** Largest heap of a process of hollow members, in MB. */
    int heapMb() {
        return heapMb;
    }

    HollowPlan plan() {
        return plan;
    }

    /** Returns and forgets the members that views dropped while they were alive, since the last call. */
    Set<String> takeWronglyRemoved() {
        Set<String> taken = new LinkedHashSet<>(wronglyRemoved);
        wronglyRemoved.clear();
        return taken;
    }

    private List<HollowReport> sendToAll(HollowOrder order) throws IOException {
        for (HollowProcess process : processes) {
            process.send(order);
        }
        List<HollowReport> reports = new ArrayList<>();
        for (HollowProcess process : processes) {
            reports.add(accept(process.readReport()));
        }
        return reports;
    }

    private HollowReport accept(HollowReport report) {
        addRemoved(report.removed());
        return report;
    }

    private void addRemoved(Set<String> ids) {
        ids.stream().filter(id -> !ended.contains(id)).forEach(wronglyRemoved::add);
    }

    /** Requests reports from all processes, reads the logs of the real servers, and returns the current state. */
    Observation observe() throws IOException {
        List<HollowReport> reports = sendToAll(new HollowOrder.Report());
        addRemoved(real.readLogs());
        Map<ViewKey, Integer> views = new LinkedHashMap<>();
        real.views().forEach(view -> views.merge(view, 1, Integer::sum));
        int hollow = 0;
        int staleViews = 0;
        int notInView = 0;
        int raisedLocalHealth = 0;
        long messages = 0;
        long bytes = 0;
        long droppedOverRate = 0;
        for (HollowReport report : reports) {
            report.views().forEach((key, count) -> views.merge(ViewKey.parse(key), count, Integer::sum));
            hollow += report.alive();
            staleViews += report.staleViews();
            notInView += report.notInView();
            raisedLocalHealth += report.raisedLocalHealth();
            messages += report.sent();
            bytes += report.sentBytes();
            droppedOverRate += report.overRate();
        }
        int live = members();
        boolean agreed = hollow == alive.size()
                && staleViews + notInView == 0
                && views.size() == 1
                && views.entrySet().stream()
                        .allMatch(entry -> entry.getKey().members() == live && entry.getValue() == live)
                && (real.size() == 0 || real.staleViews() == 0);
        return new Observation(
                System.nanoTime(),
                live,
                views,
                staleViews,
                notInView,
                raisedLocalHealth,
                messages,
                bytes,
                droppedOverRate,
                agreed);
    }

    /** Processor time of all hollow processes since their starts, in seconds. */
    double hollowProcessorSeconds() throws IOException {
        double seconds = 0;
        for (HollowProcess process : processes) {
            seconds += ProcessFigures.processorSeconds(process.pid());
        }
        return seconds;
    }

    /** Resident memory of all hollow processes, in bytes. */
    double hollowResidentBytes() throws IOException {
        double bytes = 0;
        for (HollowProcess process : processes) {
            bytes += ProcessFigures.residentBytes(process.pid());
        }
        return bytes;
    }

    /** Heap in use after a full collection, in bytes, summed over the hollow processes, which are collected in turn. */
    double hollowLiveHeapBytes() throws IOException, InterruptedException {
        double bytes = 0;
        for (HollowProcess process : processes) {
            bytes += ProcessFigures.liveHeapBytes(process.pid());
        }
        return bytes;
    }

    /** Number of open descriptors of all hollow processes. */
    int hollowDescriptors() throws IOException {
        int open = 0;
        for (HollowProcess process : processes) {
            open += ProcessFigures.descriptors(process.pid());
        }
        return open;
    }

    private synchronized void stopProcesses() {
        processes.forEach(HollowProcess::close);
    }

    @Override
    public void close() {
        stopProcesses();
        real.close();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            return; // The lab is being interrupted and the hook is running already.
        }
    }
}
