package wheatspread.admission.sfq;

import wheatspread.admission.LoadGauges;

/**
 * Holds the gauge readings of the host and detects stuck gauges. Gauges count as stuck after {@value #STUCK_READINGS}
 * equal consecutive readings while requests are started, or at once if a core gauge is missing.
 */
final class GaugeMonitor {
    /** Equal consecutive readings, one per tick, after which the gauges count as stuck. */
    private static final int STUCK_READINGS = 40;

    /** The reading of this batch, or null if there is none. */
    private LoadGauges current;
    /** The last reading that was checked, or null before the first check. */
    private LoadGauges lastChecked;

    private int stuckReadings;

    void beginBatch() {
        current = null;
    }

    void record(LoadGauges reading) {
        current = reading;
    }

    /**
     * Checks the reading of this batch.
     *
     * @param requestsStarted whether any request is started, so that the gauges should change
     * @return the reading, or null if there is none or the gauges are stuck
     */
    LoadGauges check(boolean requestsStarted) {
        if (current == null) {
            return null;
        }
        boolean readable = current.coreUtilization() >= 0 && current.runnableTasks() >= 0;
        boolean unchanged = current.equals(lastChecked) && requestsStarted;
        if (!readable) {
            stuckReadings = STUCK_READINGS;
        } else {
            stuckReadings = unchanged ? Math.min(stuckReadings + 1, STUCK_READINGS) : 0;
        }
        lastChecked = current;
        return isStuck() ? null : current;
    }

    boolean isStuck() {
        return stuckReadings >= STUCK_READINGS;
    }

    /** Returns the last reading that was checked, or null before the first check. */
    LoadGauges last() {
        return lastChecked;
    }
}
