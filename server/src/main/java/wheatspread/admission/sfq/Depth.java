package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.LoadGauges;

/** D, how many requests run at once, set by the gauges; and the bound on what is held, by its drain time. */
abstract class Depth extends RunTimes {
    /** Core use under which cores count as idle, as a share; the gauge looks back half a second. */
    private static final double CORES_IDLE = 0.92;

    private static final double CROWDED = 1.4; // things on the cores, per core, above which D shrinks
    private static final int CROWDED_TICKS = 3; // in a row until D gives up one slot: the hysteresis
    private static final double CEILING = 0.6; // of D, as a share of the crowd that the server survives
    /** All requests begun, those at calls too, as a share of that crowd: calls may return all at once. */
    private static final double BEGUN_CEILING = 0.85;
    /** Equal readings in a row, while work goes on, that make a gauge count as stuck. */
    private static final int STUCK_TICKS = 40;
    /** The hold bound: its drain time as a share of the mean aim less run time of what is held. */
    private static final double HOLD_SHARE = 0.6;

    int depth = settings.cores();
    private int crowdedTicks, sameTicks;
    LoadGauges lastGauges;

    Depth(AdmissionSettings settings) {
        super(settings);
    }

    boolean depthToRun() {
        return running < depth && begun < (int) (BEGUN_CEILING * survivable());
    }

    void setDepth() {
        if (gauges != null && !stuckNow()) {
            step();
        } else if (stuck()) {
            depth = settings.cores();
        }
        depth = Math.max(settings.cores(), Math.min(depth, (int) (CEILING * survivable())));
    }

    boolean stuck() {
        return sameTicks >= STUCK_TICKS;
    }

    private boolean stuckNow() {
        boolean readable = gauges.coreUtilization() >= 0 && gauges.runnableTasks() >= 0;
        boolean same = gauges.equals(lastGauges) && begun > 0;
        sameTicks = !readable || same ? sameTicks + (readable ? 1 : STUCK_TICKS) : 0;
        lastGauges = gauges;
        return stuck();
    }

    private void step() {
        double crowd = gauges.runnableTasks() / settings.cores();
        crowdedTicks = crowd > CROWDED ? crowdedTicks + 1 : 0;
        if (crowdedTicks >= CROWDED_TICKS) {
            depth--;
            crowdedTicks = 0;
        } else if (held > 0
                && running >= depth
                && crowd < CROWDED
                && (crowd < 1 || gauges.coreUtilization() < CORES_IDLE)) {
            depth++;
        }
    }

    /** Expected drain time of the hold over its bound; the newest does not count, which rounds the bound up:
     * at few cores a whole request is a good part of it, and what could be served would be refused. */
    double fill() {
        if (held == 0) {
            return 0;
        }
        double room = heldRoom;
        for (int kind = 0; kind < heldOf.length; kind++) {
            room -= heldOf[kind] * meanElapsed[kind];
        }
        return (held - 1) * slot / depth / Math.max(1, HOLD_SHARE * room / held);
    }
}
