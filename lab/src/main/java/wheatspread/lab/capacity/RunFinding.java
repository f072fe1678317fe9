package wheatspread.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * A one-line summary of a run, from a report.
 *
 * @param run name of the run, followed by the fault if several were injected into one fleet
 * @param text the finding
 */
record RunFinding(String run, String text) {

    /**
     * Returns the findings of a run's list of faults. A report of the emulator lists sentences, which together make one
     * finding. A report of real fleets lists an object with figures for each injected fault, and each is a finding.
     */
    static List<RunFinding> ofFaults(String run, JSONArray faults) {
        List<RunFinding> findings = new ArrayList<>();
        List<String> sentences = new ArrayList<>();
        for (Object fault : faults) {
            if (fault instanceof JSONObject figures) {
                findings.add(new RunFinding(run + ", " + figures.getString("fault"), describe(figures)));
            } else {
                sentences.add(String.valueOf(fault));
            }
        }
        if (!sentences.isEmpty()) {
            findings.add(new RunFinding(run, String.join("; ", sentences)));
        }
        return findings;
    }

    private static String describe(JSONObject figures) {
        List<String> parts = new ArrayList<>();
        parts.add(figures.getInt("members") + " members");
        parts.add(
                figures.isNull("view_s")
                        ? "no view in time"
                        : "one view after " + Numbers.rounded(figures.getDouble("view_s")) + " s");
        parts.add(Numbers.rounded(figures.getDouble("bytes_per_s")) + " bytes a member and second");
        parts.add(figures.getInt("wrongly_removed") + " removed wrongly");
        return String.join(", ", parts);
    }
}
