package wheatspread.admission.sfq;

import java.util.Arrays;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.RequestClass;

/** What runs take, learned from those that ended: the cost of a request, and what it will need. */
abstract class RunTimes extends FairQueue {
    /** Until a run has ended, one is taken to last this share of the shortest aim, or all would be held. */
    private static final double UNKNOWN_RUN = 0.25;
    /** The median of run times as a share of their mean; it must fit before the aim for a run to start. */
    private static final double RUN_FITS = 0.7;
    /** Smoothing of what hints tell, per run; taken at their word until a tenth of 1/gain runs ended. */
    private static final double HINT_GAIN = 0.01;

    private static final double LOST_GAIN = 0.05; // of the share of runs given up, per run
    /** What a client's first try took, as a share of its class's aim, where no try tells how long is left. */
    private static final double TRIED_FOR = 0.7;

    private static final double SAME_LEFT = 0.02; // shares of a deadline that differ by less are the same
    private static final int SHOWN_BY = 10; // runs whose times show what a cold server can do

    private double[] meanRun = new double[settings.classes().size()];
    double[] meanElapsed = meanRun.clone();
    /** By class: the most and the mean of what first tries are given, as a share of the deadline. */
    private double[] firstMost = meanRun.clone(), firstMean = meanRun.clone();

    private double spentMean, meanHint, meanSlot;
    double lost; // share of the runs lately ended that were given up
    /** Of the logarithms of hints and run times: how many, means, spread of hints, how they go together. */
    private int hints;

    private double logHint, logTime, hintSpread, hintTold;
    double slot; // how long a run keeps its slot; us

    RunTimes(AdmissionSettings settings) {
        super(settings);
    }

    @Override
    public void onSettingsChanged(AdmissionSettings next) {
        super.onSettingsChanged(next);
        meanRun = Arrays.copyOf(meanRun, heldOf.length);
        meanElapsed = Arrays.copyOf(meanElapsed, heldOf.length);
        firstMost = Arrays.copyOf(firstMost, heldOf.length);
        firstMean = Arrays.copyOf(firstMean, heldOf.length);
    }

    /** How long the client of a marked further try waited before. A caller gives first tries of a class one
     * share of the deadline: more than that left, or all given to first tries, tells; else the mean of those.
     * Guards against runs for clients past their aim, which feed storms; may harm quick repeats. */
    long spent(AdmissionRequest request, RequestClass kind) {
        double left = (double) (request.timeoutMicros() + request.ageMicros()) / kind.deadlineMicros();
        int of = request.requestClass();
        if (request.timeoutMicros() <= 0 && request.retry()) {
            return (long) (TRIED_FOR
                    * kind.latencyObjectiveMicros()); // runs of a whole aim would mostly end late, for nobody
        } else if (request.timeoutMicros() <= settle) {
            return 0;
        } else if (!request.retry()) {
            firstMost[of] = Math.max(firstMost[of], left);
            firstMean[of] = mean(firstMean[of], left);
            return 0;
        }
        double most = kind.deadlineMicros() * Math.max(0, 1 - left);
        if (firstMean[of] > 0 && left > firstMost[of] + SAME_LEFT || firstMean[of] > 1 - SAME_LEFT) {
            spentMean = mean(spentMean, most);
            return (long) most;
        }
        return (long) Math.min(spentMean, most);
    }

    /** The hint, else the class's mean run time; both against the mean of all: costs start at one unit. */
    double cost(Job job) {
        if (job.request.expectedWorkMicros() > 0) {
            meanHint = mean(meanHint, job.request.expectedWorkMicros());
            return job.request.expectedWorkMicros() / meanHint;
        }
        double own = meanRun[job.request.requestClass()];
        return own > 0 && meanSlot > 0 ? own / meanSlot : 1;
    }

    void learn(Job job, long elapsed) {
        int kind = job.request.requestClass();
        meanRun[kind] = mean(meanRun[kind], job.onCores);
        meanElapsed[kind] = mean(meanElapsed[kind], elapsed);
        meanSlot = mean(meanSlot, job.onCores);
        learnHint(job, job.onCores, 0);
    }

    /** What hints tell of core time: a slope over logarithms. Runs given up count with what they had. */
    void learnHint(Job job, long onCores, int givenUp) {
        lost += LOST_GAIN * (givenUp - lost);
        if (job.request.expectedWorkMicros() <= 0) {
            return;
        }
        double gain = Math.max(HINT_GAIN, 1.0 / ++hints);
        double x = Math.log(job.request.expectedWorkMicros()) - logHint;
        double y = Math.log(Math.max(settle, onCores)) - logTime;
        double soon = Math.max(LOST_GAIN, gain); // speed changes as a process warms, the slope hardly
        logHint += soon * x;
        logTime += soon * y;
        hintSpread += gain * ((1 - gain) * x * x - hintSpread);
        hintTold += gain * ((1 - gain) * x * y - hintTold);
    }

    /** How long a run likely takes, half take longer; calls add their time, which no hint tells. A few long
     * runs in hand look like a slow server: a hint is stretched once their mean age is twice the usual. */
    double expected(Job job) {
        double elapsed = meanElapsed[job.request.requestClass()];
        double slower = meanSlot > 0 ? Math.max(1, slot / meanSlot) : 1;
        if (job.request.expectedWorkMicros() <= 0) {
            return RUN_FITS * slower * elapsed;
        }
        double slope = Math.min(1, hintTold / Math.max(hintSpread, HINT_GAIN));
        double cores = hints < 0.1 / HINT_GAIN
                ? job.request.expectedWorkMicros() / speed()
                : Math.exp(logTime + slope * (Math.log(job.request.expectedWorkMicros()) - logHint));
        return cores * Math.max(1, slower / 2) + elapsed - meanRun[job.request.requestClass()];
    }

    /** Time a run keeps its slot; where runs stall, their ages tell before any of them completes. */
    void estimateSlot() {
        double[] ages = jobs.values().stream()
                .filter(job -> job.state == State.RUNNING)
                .mapToDouble(job -> job.onCores + now - job.since)
                .toArray();
        double known = meanSlot > 0 ? meanSlot : UNKNOWN_RUN * shortestAim / speed();
        double mean = Arrays.stream(ages).average().orElse(0);
        slot = ages.length < settings.cores() ? known : Math.max(known, mean);
    }

    /** The share of its speed that a cold server is known to have, by what it was told or by the time of its
     * own runs beside their hints; a warm one counts as whole. Guards against the whole window told by a
     * fifth of a server, which its callers fill at once; may keep some away from one that warms faster. */
    double shown() {
        double told = speed();
        double seen = hints < SHOWN_BY ? 0 : Math.exp(logHint - logTime);
        return told >= 1 ? 1 : Math.min(1, Math.max(told, seen));
    }
}
