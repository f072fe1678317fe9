package wheatspread.admission.sfq;

import wheatspread.admission.LoadGauges;

/**
 * The gauge readings of the host, and whether they can be trusted. Gauges count as stuck after
 * {@value #STUCK_READINGS} equal readings in a row while work goes on, or at once when core gauges are missing.
 */
final class GaugeMonitor {
    private static final int STUCK_READINGS = 40;

    /** The reading of this batch, or null. */
    private LoadGauges current;
    /** The last reading that was checked, or null. */
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
     * @param working whether any request is started, so that a gauge should change
     * @return the reading, or null if there is none or the gauges are stuck
     */
    LoadGauges check(boolean working) {
        if (current == null) {
            return null;
        }
        boolean readable = current.coreUtilization() >= 0 && current.runnableTasks() >= 0;
        boolean unchanged = current.equals(lastChecked) && working;
        if (!readable) {
            stuckReadings += STUCK_READINGS;
        } else {
            stuckReadings = unchanged ? stuckReadings + 1 : 0;
        }
        lastChecked = current;
        return isStuck() ? null : current;
    }

    boolean isStuck() {
        return stuckReadings >= STUCK_READINGS;
    }

    /** The last reading that was checked, or null. */
    LoadGauges last() {
        return lastChecked;
    }
}
