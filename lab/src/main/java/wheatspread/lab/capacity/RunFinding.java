package wheatspread.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * What a report says of one run, in a line for a reader.
 *
 * @param run the name of the run, with the fault where several were played on one fleet
 * @param text what was found
 */
record RunFinding(String run, String text) {

    /**
     * The findings of a run's list of faults. A report of the emulator lists sentences, which are one finding together;
     * a report of real fleets lists an object with figures for each fault that was played, which is a finding each.
     */
    static List<RunFinding> ofFaults(String run, JSONArray faults) {
        List<RunFinding> findings = new ArrayList<>();
        List<String> sentences = new ArrayList<>();
        for (Object fault : faults) {
            if (fault instanceof JSONObject figures) {
                findings.add(new RunFinding(run + ", " + figures.getString("fault"), measured(figures)));
            } else {
                sentences.add(String.valueOf(fault));
            }
        }
        if (!sentences.isEmpty()) {
            findings.add(new RunFinding(run, String.join("; ", sentences)));
        }
        return findings;
    }

    private static String measured(JSONObject figures) {
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
