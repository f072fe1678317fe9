package wheatspread.lab.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.lab.standins.ControlClient;

/** A fleet of 60 hollow and 3 real servers under load loses a rack of 20 hollow servers at the same time. */
class ScaleStepTest {
    private static final int HOLLOW = 60;
    private static final int REAL = 3;
    private static final double FORM_SECONDS = 40;
    private static final ScaleSettings SETTINGS = new ScaleSettings(
            Path.of("../server/target/wheatspread.jar"),
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m"),
            REAL,
            20,
            1,
            0,
            EnumSet.of(FaultKind.RACK));

    @Test
    @Timeout(120)
    void removesExactlyTheCrashedRackAndServesEveryRequest() throws Exception {
        try (ScaleFleet fleet = new ScaleFleet(SETTINGS, HOLLOW, REAL)) {
            fleet.start();
            fleet.startNext(HOLLOW);
            assertThat(new ObservationWindow(fleet).awaitView(System.nanoTime(), FORM_SECONDS))
                    .as("seconds until all members hold the same view")
                    .isNotNaN();
            fleet.real().rig().world().setRequestRate(SETTINGS.rate());
            JSONObject rack = new FaultInjector(fleet, SETTINGS.seed()).run(FaultKind.RACK);
            assertThat(rack.has("view_s"))
                    .as("all members hold the same view: %s", rack)
                    .isTrue();
            assertThat(rack.getInt("members")).isEqualTo(HOLLOW + REAL - FaultKind.RACK_SIZE);
            assertThat(rack.getInt("wrongly_removed")).as("%s", rack).isZero();
            assertThat(rack.getInt("old_at_end")).as("%s", rack).isZero();
            assertThat(membersOfARealServer(fleet)).isEqualTo(liveMembers(fleet));
            assertThat(fleet.real().rig().settle())
                    .as("requests without an answer")
                    .isZero();
            JSONObject load = fleet.real().rig().world().checker().figures();
            assertThat(load.getLong("asked")).isPositive();
            assertThat(load.getLong("served")).as("%s", load).isEqualTo(load.getLong("asked"));
            assertThat(fleet.real().rig().world().checker().violations()).isEmpty();
        }
    }

    private static Set<String> membersOfARealServer(ScaleFleet fleet) {
        JSONObject answer =
                ControlClient.members(fleet.real().rig().members().get(0).controlAddress());
        Set<String> names = new TreeSet<>();
        answer.getJSONArray("members").forEach(member -> names.add(((JSONObject) member).getString("name")));
        return names;
    }

    private static Set<String> liveMembers(ScaleFleet fleet) {
        List<String> names =
                new ArrayList<>(fleet.alive().stream().map(MemberSpec::name).toList());
        fleet.real().rig().members().forEach(server -> names.add(server.name()));
        return new TreeSet<>(names);
    }
}
