package wheatspread.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.json.JSONObject;

/** Plays faults on a fleet, one at a time, and measures each until every living member holds one view. */
final class FaultPlayer {
    /** The least length of a fault's window, so that its rates can be compared. */
    private static final double LEAST_SECONDS = 10;

    private static final double LASTS_SECONDS = 15;
    /** Two restarts, of which one is clean, at the daily rate. */
    private static final int DAILY_RESTARTS = 2;

    private final ScaleFleet fleet;
    private final Random random;

    FaultPlayer(ScaleFleet fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
    }

    /**
     * One fault. {@code view_s} counts from the fault's begin, from its end where it lasts for a while, and from the
     * last of several restarts; where it is missing, {@code finding} says that no view was agreed in time.
     */
    JSONObject play(FaultKind kind) throws IOException, InterruptedException {
        int before = fleet.members();
        ObservationWindow window = new ObservationWindow(fleet);
        Played played = carryOut(kind, window);
        double view = window.awaitView(played.since, kind.limitSeconds());
        window.watch(played.leastSeconds - window.seconds());
        JSONObject figures = window.figures().put("fault", kind.word()).put("members_before", before);
        if (kind == FaultKind.HALVES) {
            figures.put("first_half", played.members);
        }
        return Double.isNaN(view)
                ? figures.put("finding", "no view in " + kind.limitSeconds() + " s")
                        .put("why_old", fleet.real().whyOld())
                : figures.put("view_s", view);
    }

    /**
     * A fault that was carried out.
     *
     * @param since when the wait for a view begins, by {@link System#nanoTime}
     * @param leastSeconds how long its window is at least
     * @param members how many it hit directly
     */
    private record Played(long since, double leastSeconds, int members) {}

    private Played carryOut(FaultKind kind, ObservationWindow window) throws IOException, InterruptedException {
        return switch (kind) {
            case CRASH -> crash(drawn(fleet.alive(), 1));
            case RACK -> crash(rack());
            case ZONE -> crash(ofZone(ScaleFleet.lostZone()));
            case RETURN -> {
                int lost = fleet.lost();
                fleet.startLost();
                yield new Played(System.nanoTime(), LEAST_SECONDS, lost);
            }
            case RESTARTS_DAILY -> restart(window, DAILY_RESTARTS, FaultKind.DAILY_RATE);
            case RESTARTS_RELEASE ->
                restart(window, (int) Math.round(LASTS_SECONDS * FaultKind.RELEASE_RATE), FaultKind.RELEASE_RATE);
            case LOSS20 -> {
                fleet.lose(FaultKind.LOSS);
                yield untilMended(window, fleet.members());
            }
            case HALVES -> untilMended(window, fleet.cutInHalves());
        };
    }

    private Played crash(List<MemberSpec> members) throws IOException {
        long begun = System.nanoTime();
        int hit = members.size();
        fleet.crash(members);
        return new Played(begun, LEAST_SECONDS, hit);
    }

    private Played untilMended(ObservationWindow window, int hit) throws IOException, InterruptedException {
        window.watch(LASTS_SECONDS);
        fleet.mendLinks();
        return new Played(System.nanoTime(), LEAST_SECONDS, hit);
    }

    private List<MemberSpec> ofZone(String zone) {
        return fleet.alive().stream().filter(one -> one.zone().equals(zone)).toList();
    }

    /** Members of one zone, as many as a rack holds and the zone has; of all zones where one is too small. */
    private List<MemberSpec> rack() {
        List<MemberSpec> zone = ofZone("r1-z2");
        return drawn(zone.size() < FaultKind.RACK_SIZE ? fleet.alive() : zone, FaultKind.RACK_SIZE);
    }

    private List<MemberSpec> drawn(List<MemberSpec> from, int count) {
        List<MemberSpec> shuffled = new ArrayList<>(from);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    /** Restarts different members at a steady rate, every other one clean, each in the middle of its interval. */
    private Played restart(ObservationWindow window, int count, double rate) throws IOException, InterruptedException {
        List<MemberSpec> chosen = drawn(fleet.alive(), count);
        double begun = window.seconds();
        for (int i = 0; i < chosen.size(); i++) {
            window.watch(begun + (i + 0.5) / rate - window.seconds());
            fleet.restart(chosen.get(i), i % 2 == 1);
        }
        return new Played(System.nanoTime(), chosen.size() / rate, chosen.size());
    }
}
