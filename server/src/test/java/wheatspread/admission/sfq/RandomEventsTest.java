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
 * Seeded random events, checked against the rules: one answer in time for each request, effects once, and memory,
 * started requests and calls within their bounds. Covers calls, some of them rejected, duplicates of requests with an
 * idempotency key and of reads, at-most-once classes, cancellations, work hints, retries, each feedback mode, cold
 * starts, preemption, little memory and draining.
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
    private final Set<Long> ran = new HashSet<>();
    private final Set<Long> held = new HashSet<>();
    private final Map<Long, Long> originals = new LinkedHashMap<>();
    private final Set<Long> joining = new LinkedHashSet<>();
    private final Set<Long> running = new LinkedHashSet<>();
    private final Set<Long> awaitingCall = new LinkedHashSet<>();
    private final Map<Long, Long> calling = new LinkedHashMap<>();
    private final Set<Long> callMayHaveActed = new HashSet<>();
    private final List<Long> ended = new ArrayList<>();
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
    void keepsRulesAndRepeatsActionsForSameEvents(long seed) {
        List<String> actions = play(seed);
        assertThat(new RandomEventsTest().play(seed)).isEqualTo(actions);
    }

    private List<String> play(long seed) {
        List<String> all = new ArrayList<>();
        Random random = new Random(seed);
        double memory = seed % 3 == 0 ? 420 : 1500;
        ControllerHarness harness = new ControllerHarness(settings(seed, memory));
        long id = 0;
        for (long t = 1010; t < 30_000; t += 10) {
            nowMillis = t;
            harness.at(t);
            if (t == 24_000) {
                harness.controller.onDrain(6_000_000);
            }
            if (t < 24_900) {
                for (int n = random.nextInt(t % 5000 < 1000 ? 4 : 2); n > 0; n--) {
                    arrive(harness, ++id, random);
                }
            }
            if (t % 130 == 0) {
                cancel(harness, random);
            }
            progress(harness, random, t % 7000 < 2000 ? 100 : 12, t % 9000 < 4000 ? 150 : 10);
            if (t % 50 == 0) {
                harness.controller.onTimer(new LoadGauges(1, running.size(), random.nextDouble(), 3));
            }
            harness.decide();
            harness.actions.forEach(action -> check(action));
            all.addAll(harness.actions);
            checkBounds(memory);
        }
        assertThat(answerDeadlines)
                .as("all requests are answered before the process is stopped")
                .isEmpty();
        assertThat(ran.size()).isGreaterThan(40);
        assertThat(callsMade).as("calls").isGreaterThan(20);
        assertThat(callsSkipped).as("calls skipped").isPositive();
        assertThat(joinsMade).as("duplicates joined").isPositive();
        return all;
    }

    private static AdmissionSettings settings(long seed, double memory) {
        AdmissionSettings base = TestSettings.settings(
                seed % 2 == 0,
                memory,
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
                base.cores(),
                base.servers(),
                base.cold(),
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

    /** A client goes away; the server hears of it, now and then twice or too late. */
    private void cancel(ControllerHarness harness, Random random) {
        List<Long> open = new ArrayList<>(answerDeadlines.keySet());
        open.sort(null);
        if (open.isEmpty()) {
            return;
        }
        long id = open.get(random.nextInt(open.size()));
        boolean waits = held.remove(id);
        joining.remove(id);
        answerDeadlines.remove(id);
        failed.add(id);
        if (awaitingCall.contains(id) || calling.containsKey(id)) {
            ended.add(id);
            if (calling.remove(id) != null) {
                lingering.add(nowMillis + CALL_LINGER_MILLIS);
            }
        }
        harness.controller.onCancellation(id);
        if (waits || random.nextBoolean()) {
            harness.controller.onCancellation(id);
        }
    }

    /** Runs end or reach a call, calls end; both go slower at times. */
    private void progress(ControllerHarness harness, Random random, int runs, int calls) {
        for (long run : new ArrayList<>(running)) {
            int draw = random.nextInt(runs);
            if (draw == 0) {
                end(harness, run, answerDeadlines.containsKey(run) ? Outcome.OK : Outcome.CANCELED);
            } else if (draw == 1 && answerDeadlines.containsKey(run)) {
                running.remove(run);
                awaitingCall.add(run);
                harness.controller.onBlocked(run);
            }
        }
        for (Map.Entry<Long, Long> call : new ArrayList<>(calling.entrySet())) {
            long id = call.getKey();
            boolean late = nowMillis >= call.getValue();
            if (!late && random.nextInt(calls) != 0) {
                continue;
            }
            calling.remove(id);
            Outcome outcome = late
                    ? Outcome.TIMED_OUT
                    : random.nextInt(8) == 0
                            ? Outcome.QUEUE_FULL
                            : random.nextInt(8) == 0 ? Outcome.FAILED : Outcome.OK;
            if (!answerDeadlines.containsKey(id)) {
                end(harness, id, Outcome.CANCELED);
                continue;
            }
            if (late) {
                lingering.add(nowMillis + CALL_LINGER_MILLIS);
            }
            (outcome == Outcome.OK ? running : awaitingCall).add(id);
            if (outcome == Outcome.FAILED || late) {
                callMayHaveActed.add(id);
            }
            harness.controller.onCallCompleted(id, outcome, 50_000);
        }
        for (long join : new ArrayList<>(joining)) {
            long first = originals.get(join);
            if (!held.contains(first)
                    && !running.contains(first)
                    && !awaitingCall.contains(first)
                    && !calling.containsKey(first)) {
                joining.remove(join);
                if (held.remove(join) && answerDeadlines.remove(join) != null) {
                    harness.complete(join, ran.contains(first) ? Outcome.OK : Outcome.FAILED, 100);
                }
            }
        }
        for (long id : new ArrayList<>(ended)) {
            ended.remove(id);
            awaitingCall.remove(id);
            end(harness, id, Outcome.CANCELED);
        }
    }

    private void end(ControllerHarness harness, long id, Outcome outcome) {
        running.remove(id);
        answerDeadlines.remove(id);
        harness.complete(id, outcome, 100);
    }

    private void check(String action) {
        String[] words = action.split(" ");
        long id = words.length == 2 && words[1].matches("\\d+") ? Long.parseLong(words[1]) : 0;
        switch (words[0]) {
            case "run" -> {
                assertThat(ran.add(id)).as("runs once: " + id).isTrue();
                assertThat(held.remove(id)).as("was held: " + id).isTrue();
                assertThat(ran)
                        .as("the request that it repeats has run")
                        .doesNotContain(originals.getOrDefault(id, 0L));
                running.add(id);
            }
            case "reject" -> {
                assertThat(ran).as("rejected after a run").doesNotContain(id);
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
                    ended.add(id);
                    if (calling.remove(id) != null) {
                        lingering.add(nowMillis + CALL_LINGER_MILLIS);
                    }
                }
            }
            case "call" -> {
                assertThat(awaitingCall.remove(id)).as("waits to call: " + id).isTrue();
                assertThat(requestClasses.get(id) != 0 && callMayHaveActed.contains(id))
                        .as("second call")
                        .isFalse();
                calling.put(id, nowMillis + 600);
                callsMade++;
            }
            case "skip" -> {
                assertThat(requestClasses.get(id)).as("may be skipped").isZero();
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

    private void checkBounds(double memory) {
        assertThat(answerDeadlines.values())
                .as("answered in time at " + nowMillis)
                .allMatch(deadline -> deadline >= nowMillis);
        retainedUntil.values().removeIf(until -> until < nowMillis);
        lingering.removeIf(until -> until < nowMillis);
        int started = running.size() + awaitingCall.size() + calling.size();
        assertThat(held.size() * 20 + started * 80 + retainedUntil.size() * 10)
                .as("memory at " + nowMillis)
                .isLessThanOrEqualTo((int) memory);
        assertThat(started).as("started requests").isLessThanOrEqualTo(10);
        outstandingCalls.add(calling.size() + lingering.size());
        if (outstandingCalls.size() > CALL_WINDOW_MILLIS / 10) {
            outstandingCalls.remove();
        }
        double mean = outstandingCalls.stream().mapToInt(Integer::intValue).sum() / (CALL_WINDOW_MILLIS / 10.0);
        assertThat(mean).as("mean of outstanding calls at " + nowMillis).isLessThanOrEqualTo(MAX_CONCURRENT_CALLS);
    }
}
