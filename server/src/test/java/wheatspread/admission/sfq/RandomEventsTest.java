package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.Tenant;

/**
 * Checks invariants under seeded random events: each request gets one answer in time and takes effect at most once, and
 * memory, started requests and calls stay within their bounds. Covers calls, some of them rejected, duplicates of
 * requests with an idempotency key and of reads, at-most-once classes, cancellations, work hints, retries, each
 * feedback mode, cold starts, preemption, little memory and draining.
 */
class RandomEventsTest {
    private static final double MAX_CONCURRENT_CALLS = 1.5;
    private static final long CALL_WINDOW_MILLIS = 5000;
    private static final long CALL_LINGER_MILLIS = 200;
    private static final Idempotency[] IDEMPOTENCY = {
        Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY, Idempotency.AT_MOST_ONCE
    };
    private static final long[] DEADLINES_MILLIS = {2000, 1500, 1800};

    private final Map<Long, Long> answerDeadlines = new HashMap<>();
    private final Map<Long, Integer> requestClasses = new HashMap<>();
    private final Set<Long> startedIds = new HashSet<>();
    private final Set<Long> held = new HashSet<>();
    private final Map<Long, Long> originals = new LinkedHashMap<>();
    private final Set<Long> joining = new LinkedHashSet<>();
    private final Set<Long> running = new LinkedHashSet<>();
    private final Set<Long> awaitingCall = new LinkedHashSet<>();
    private final Map<Long, Long> calling = new LinkedHashMap<>();
    private final Set<Long> callMayHaveTakenEffect = new HashSet<>();
    private final List<Long> endingRuns = new ArrayList<>();
    private final List<Long> lingering = new ArrayList<>();
    private final Map<Long, Long> retainedUntil = new LinkedHashMap<>();
    private final Deque<Integer> outstandingCalls = new ArrayDeque<>();
    private final Set<Long> failed = new HashSet<>();
    private int callsMade;
    private int callsSkipped;
    private int joinsMade;
    private long nowMillis;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void keepsInvariantsAndIsDeterministic(long seed) {
        List<String> actions = runRandomEvents(seed);
        assertThat(new RandomEventsTest().runRandomEvents(seed)).isEqualTo(actions);
    }

    /** Guards against a mean of dependency calls above its limit in the first seconds of a process. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 71, 109, 172, 187, 203, 212, 236, 241, 248, 254, 260, 280})
    void keepsCallLimitAfterStart(long seed) {
        runRandomEvents(seed);
    }

    private List<String> runRandomEvents(long seed) {
        List<String> allActions = new ArrayList<>();
        Random random = new Random(seed);
        double memoryKb = seed % 3 == 0 ? 420 : 1500;
        ControllerHarness harness = new ControllerHarness(settings(seed, memoryKb));
        long id = 0;
        for (long timeMillis = 1010; timeMillis < 30_000; timeMillis += 10) {
            nowMillis = timeMillis;
            harness.advanceTo(timeMillis);
            if (timeMillis == 24_000) {
                harness.controller.onDrain(6_000_000);
            }
            if (timeMillis < 24_900) {
                for (int n = random.nextInt(timeMillis % 5000 < 1000 ? 4 : 2); n > 0; n--) {
                    arrive(harness, ++id, random);
                }
            }
            if (timeMillis % 130 == 0) {
                cancel(harness, random);
            }
            advanceWork(harness, random, timeMillis % 7000 < 2000 ? 100 : 12, timeMillis % 9000 < 4000 ? 150 : 10);
            if (timeMillis % 50 == 0) {
                harness.controller.onTimer(new LoadGauges(1, running.size(), random.nextDouble(), 3));
            }
            harness.decide();
            harness.actions.forEach(action -> checkAction(action));
            allActions.addAll(harness.actions);
            checkBounds(memoryKb);
        }
        assertThat(answerDeadlines)
                .as("all requests are answered before the process is stopped")
                .isEmpty();
        assertThat(startedIds.size()).isGreaterThan(40);
        assertThat(callsMade).as("calls").isGreaterThan(20);
        assertThat(callsSkipped).as("calls skipped").isPositive();
        assertThat(joinsMade).as("duplicates joined").isPositive();
        return allActions;
    }

    private static AdmissionSettings settings(long seed, double memoryKb) {
        AdmissionSettings base = TestSettings.settings(
                seed % 2 == 0,
                memoryKb,
                MAX_CONCURRENT_CALLS,
                List.of(new Tenant(1), new Tenant(2)),
                TestSettings.requestClass(800, DEADLINES_MILLIS[0], IDEMPOTENCY[0], 0, 0.5),
                TestSettings.requestClass(900, DEADLINES_MILLIS[1], IDEMPOTENCY[1], 0.2, 0),
                TestSettings.requestClass(900, DEADLINES_MILLIS[2], IDEMPOTENCY[2], 0.2, 0));
        ClientSettings clients = new ClientSettings(
                900,
                LoadFeedbackMode.values()[(int) (seed % 4)],
                1_000_000,
                1_000_000,
                seed % 2 == 0,
                30_000_000,
                0.01,
                0);
        long cacheTtlMicros = seed % 4 < 2 ? 1_000_000 : 0;
        return new AdmissionSettings(
                base.coreCount(),
                base.serverCount(),
                base.startsCold(),
                PreemptionMode.values()[(int) (seed % 3)],
                cacheTtlMicros,
                base.timerResolutionMicros(),
                base.limits(),
                base.dependency(),
                clients,
                base.classes(),
                base.tenants());
    }

    private void arrive(ControllerHarness harness, long id, Random random) {
        int requestClass = random.nextInt(3);
        long ageMillis = random.nextInt(60);
        long duplicateOf = 0;
        if (requestClass < 2 && random.nextInt(4) == 0) {
            duplicateOf = retainedUntil.keySet().stream()
                    .filter(retained -> requestClasses.get(retained) == requestClass
                            && (requestClass == 1 || !failed.contains(retained)))
                    .findFirst()
                    .orElse(0L);
        }
        boolean retry = random.nextInt(3) == 0;
        long firstTimeoutMillis = DEADLINES_MILLIS[requestClass] / (requestClass == 2 ? 1 : 2);
        long timeoutMillis = random.nextInt(5) == 0
                ? 0
                : retry ? 1 + random.nextInt((int) DEADLINES_MILLIS[requestClass]) : firstTimeoutMillis;
        double hintMicros = random.nextInt(4) == 0 ? 0 : 20_000 * Math.exp(random.nextGaussian());
        harness.arrive(new AdmissionRequest(
                id,
                random.nextInt(2),
                requestClass,
                ageMillis * 1000,
                timeoutMillis * 1000,
                duplicateOf,
                retry,
                requestClass == 0,
                false,
                20,
                hintMicros));
        requestClasses.put(id, requestClass);
        answerDeadlines.put(
                id,
                (timeoutMillis > 0 ? nowMillis + timeoutMillis : nowMillis - ageMillis + DEADLINES_MILLIS[requestClass])
                        + 60);
        held.add(id);
        if (duplicateOf != 0) {
            originals.put(id, duplicateOf);
        }
    }

    /** Cancels a random request; the controller is notified, sometimes twice or after the end of the request. */
    private void cancel(ControllerHarness harness, Random random) {
        List<Long> unansweredIds = new ArrayList<>(answerDeadlines.keySet());
        unansweredIds.sort(null);
        if (unansweredIds.isEmpty()) {
            return;
        }
        long id = unansweredIds.get(random.nextInt(unansweredIds.size()));
        boolean wasHeld = held.remove(id);
        joining.remove(id);
        answerDeadlines.remove(id);
        failed.add(id);
        if (awaitingCall.contains(id) || calling.containsKey(id)) {
            endingRuns.add(id);
            if (calling.remove(id) != null) {
                lingering.add(nowMillis + CALL_LINGER_MILLIS);
            }
        }
        harness.controller.onCancellation(id);
        if (wasHeld || random.nextBoolean()) {
            harness.controller.onCancellation(id);
        }
    }

    /** Ends runs and calls and lets runs reach calls; both are slower in some periods. */
    private void advanceWork(ControllerHarness harness, Random random, int runBound, int callBound) {
        for (long runId : new ArrayList<>(running)) {
            int draw = random.nextInt(runBound);
            if (draw == 0) {
                completeRun(harness, runId, answerDeadlines.containsKey(runId) ? Outcome.OK : Outcome.CANCELED);
            } else if (draw == 1 && answerDeadlines.containsKey(runId)) {
                running.remove(runId);
                awaitingCall.add(runId);
                harness.controller.onBlocked(runId);
            }
        }
        for (Map.Entry<Long, Long> call : new ArrayList<>(calling.entrySet())) {
            long id = call.getKey();
            boolean timedOut = nowMillis >= call.getValue();
            if (!timedOut && random.nextInt(callBound) != 0) {
                continue;
            }
            calling.remove(id);
            Outcome outcome = timedOut
                    ? Outcome.TIMED_OUT
                    : random.nextInt(8) == 0
                            ? Outcome.QUEUE_FULL
                            : random.nextInt(8) == 0 ? Outcome.FAILED : Outcome.OK;
            if (!answerDeadlines.containsKey(id)) {
                completeRun(harness, id, Outcome.CANCELED);
                continue;
            }
            if (timedOut) {
                lingering.add(nowMillis + CALL_LINGER_MILLIS);
            }
            (outcome == Outcome.OK ? running : awaitingCall).add(id);
            if (outcome == Outcome.FAILED || timedOut) {
                callMayHaveTakenEffect.add(id);
            }
            harness.controller.onCallCompleted(id, outcome, 50_000);
        }
        for (long duplicateId : new ArrayList<>(joining)) {
            long originalId = originals.get(duplicateId);
            if (!held.contains(originalId)
                    && !running.contains(originalId)
                    && !awaitingCall.contains(originalId)
                    && !calling.containsKey(originalId)) {
                joining.remove(duplicateId);
                if (held.remove(duplicateId) && answerDeadlines.remove(duplicateId) != null) {
                    harness.complete(duplicateId, startedIds.contains(originalId) ? Outcome.OK : Outcome.FAILED, 100);
                }
            }
        }
        for (long id : new ArrayList<>(endingRuns)) {
            endingRuns.remove(id);
            awaitingCall.remove(id);
            completeRun(harness, id, Outcome.CANCELED);
        }
    }

    private void completeRun(ControllerHarness harness, long id, Outcome outcome) {
        running.remove(id);
        answerDeadlines.remove(id);
        harness.complete(id, outcome, 100);
    }

    private void checkAction(String action) {
        String[] words = action.split(" ");
        long id = words.length == 2 && words[1].matches("\\d+") ? Long.parseLong(words[1]) : 0;
        switch (words[0]) {
            case "run" -> {
                assertThat(startedIds.add(id)).as("runs once: " + id).isTrue();
                assertThat(held.remove(id)).as("was held: " + id).isTrue();
                assertThat(startedIds)
                        .as("the original request has not run")
                        .doesNotContain(originals.getOrDefault(id, 0L));
                running.add(id);
            }
            case "reject" -> {
                assertThat(startedIds).as("requests that ran are not rejected").doesNotContain(id);
                assertThat(answerDeadlines.remove(id))
                        .as("one answer for " + id)
                        .isNotNull();
                held.remove(id);
            }
            case "fail" -> {
                assertThat(answerDeadlines.remove(id))
                        .as("one answer for " + id)
                        .isNotNull();
                held.remove(id);
                if (awaitingCall.contains(id) || calling.containsKey(id)) {
                    endingRuns.add(id);
                    if (calling.remove(id) != null) {
                        lingering.add(nowMillis + CALL_LINGER_MILLIS);
                    }
                }
            }
            case "call" -> {
                assertThat(awaitingCall.remove(id)).as("awaits its call: " + id).isTrue();
                assertThat(requestClasses.get(id) != 0 && callMayHaveTakenEffect.contains(id))
                        .as("a call that may have taken effect is repeated")
                        .isFalse();
                calling.put(id, nowMillis + 600);
                callsMade++;
            }
            case "skip" -> {
                assertThat(requestClasses.get(id)).as("class of a skipped call").isZero();
                assertThat(awaitingCall.remove(id)).isTrue();
                running.add(id);
                callsSkipped++;
            }
            case "join" -> {
                assertThat(originals).containsKey(id);
                joining.add(id);
                joinsMade++;
            }
            case "retain" -> retainedUntil.put(id, nowMillis + 5000);
            case "release" -> retainedUntil.remove(id);
            default -> {}
        }
    }

    private void checkBounds(double memoryKb) {
        assertThat(answerDeadlines.values())
                .as("answered in time at " + nowMillis)
                .allMatch(deadline -> deadline >= nowMillis);
        retainedUntil.values().removeIf(until -> until < nowMillis);
        lingering.removeIf(until -> until < nowMillis);
        int started = running.size() + awaitingCall.size() + calling.size();
        assertThat(held.size() * 20 + started * 80 + retainedUntil.size() * 10)
                .as("memory at " + nowMillis)
                .isLessThanOrEqualTo((int) memoryKb);
        assertThat(started).as("started requests").isLessThanOrEqualTo(10);
        outstandingCalls.add(calling.size() + lingering.size());
        if (outstandingCalls.size() > CALL_WINDOW_MILLIS / 10) {
            outstandingCalls.remove();
        }
        double meanOutstandingCalls =
                outstandingCalls.stream().mapToInt(Integer::intValue).sum() / (CALL_WINDOW_MILLIS / 10.0);
        assertThat(meanOutstandingCalls)
                .as("mean of outstanding calls at " + nowMillis)
                .isLessThanOrEqualTo(MAX_CONCURRENT_CALLS);
    }
}
