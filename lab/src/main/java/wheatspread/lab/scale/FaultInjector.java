package wheatspread.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.json.JSONObject;

/** Injects faults into a fleet, one at a time, and measures each until all live members hold the same view. */
final class FaultInjector {
    /** Shortest measurement window of a fault, so that rates of different faults are comparable. */
    private static final double MIN_WINDOW_SECONDS = 10;

    /** How long message loss, a partition and a series of restarts at the release rate last. */
    private static final double FAULT_SECONDS = 15;

    /** Number of restarts at the daily rate; one of the two is clean. */
    private static final int DAILY_RESTARTS = 2;

    private final ScaleFleet fleet;
    private final Random random;

    FaultInjector(ScaleFleet fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
    }

    /**
     * Injects a fault and returns its figures. {@code view_s} counts from the start of an instantaneous fault, from the
     * end of a fault that lasts, and from the last of several restarts. If the members do not agree on a view within
     * the time limit, {@code view_s} is missing and {@code finding} says so.
     */
    JSONObject run(FaultKind kind) throws IOException, InterruptedException {
        int membersBefore = fleet.members();
        ObservationWindow window = new ObservationWindow(fleet);
        InjectedFault injected = inject(kind, window);
        double viewSeconds = window.awaitView(injected.sinceNanos, kind.limitSeconds());
        window.watch(injected.minSeconds - window.seconds());
        JSONObject figures = window.figures().put("fault", kind.optionName()).put("members_before", membersBefore);
        if (kind == FaultKind.HALVES) {
            figures.put("first_half", injected.members);
        }
        return Double.isNaN(viewSeconds)
                ? figures.put("finding", "no view in " + kind.limitSeconds() + " s")
                        .put("why_old", fleet.real().staleViewReason())
                : figures.put("view_s", viewSeconds);
    }

    /**
     * A fault that was injected.
     *
     * @param sinceNanos start of the wait for a common view, in {@link System#nanoTime} time
     * @param minSeconds shortest length of the measurement window
     * @param members number of members that the fault hit directly
     */
    private record InjectedFault(long sinceNanos, double minSeconds, int members) {}

    private InjectedFault inject(FaultKind kind, ObservationWindow window) throws IOException, InterruptedException {
        return switch (kind) {
            case CRASH -> crash(draw(fleet.alive(), 1));
            case RACK -> crash(drawRack());
            case ZONE -> crash(membersOfZone(ScaleFleet.crashedZone()));
            case RETURN -> {
                int crashedMembers = fleet.crashed();
                fleet.restartCrashed();
                yield new InjectedFault(System.nanoTime(), MIN_WINDOW_SECONDS, crashedMembers);
            }
            case RESTARTS_DAILY -> restart(window, DAILY_RESTARTS, FaultKind.DAILY_RESTARTS_PER_SECOND);
            case RESTARTS_RELEASE ->
                restart(
                        window,
                        (int) Math.round(FAULT_SECONDS * FaultKind.RELEASE_RESTARTS_PER_SECOND),
                        FaultKind.RELEASE_RESTARTS_PER_SECOND);
            case LOSS20 -> {
                fleet.setLoss(FaultKind.LOSS_SHARE);
                yield runUntilHealed(window, fleet.members());
            }
            case HALVES -> runUntilHealed(window, fleet.partitionInHalves());
        };
    }

    private InjectedFault crash(List<MemberSpec> members) throws IOException {
        long startNanos = System.nanoTime();
        int hitMembers = members.size();
        fleet.crash(members);
        return new InjectedFault(startNanos, MIN_WINDOW_SECONDS, hitMembers);
    }

    private InjectedFault runUntilHealed(ObservationWindow window, int hitMembers)
            throws IOException, InterruptedException {
        window.watch(FAULT_SECONDS);
        fleet.healLinks();
        return new InjectedFault(System.nanoTime(), MIN_WINDOW_SECONDS, hitMembers);
    }

    private List<MemberSpec> membersOfZone(String zone) {
        return fleet.alive().stream()
                .filter(member -> member.zone().equals(zone))
                .toList();
    }

    /**
     * Draws the members of a rack from one zone, or from the whole fleet if that zone has fewer members than a rack.
     */
    private List<MemberSpec> drawRack() {
        List<MemberSpec> zone = membersOfZone("r1-z2");
        return draw(zone.size() < FaultKind.RACK_SIZE ? fleet.alive() : zone, FaultKind.RACK_SIZE);
    }

    private List<MemberSpec> draw(List<MemberSpec> from, int count) {
        List<MemberSpec> shuffled = new ArrayList<>(from);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    /**
     * Restarts {@code count} different members at a steady rate, each in the middle of its interval. Every second
     * restart is clean.
     */
    private InjectedFault restart(ObservationWindow window, int count, double perSecond)
            throws IOException, InterruptedException {
        List<MemberSpec> chosen = draw(fleet.alive(), count);
        double startSeconds = window.seconds();
        for (int i = 0; i < chosen.size(); i++) {
            window.watch(startSeconds + (i + 0.5) / perSecond - window.seconds());
            fleet.restart(chosen.get(i), i % 2 == 1);
        }
        return new InjectedFault(System.nanoTime(), chosen.size() / perSecond, chosen.size());
    }
}
