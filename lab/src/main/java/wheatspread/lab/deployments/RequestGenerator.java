package wheatspread.lab.deployments;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.lab.deployments.Deployment.RequestClass;
import wheatspread.lab.deployments.RuleChecker.Attempt;

/** Draws requests that the clients of a deployment may send, including retries with the same idempotency key. */
final class RequestGenerator {
    /**
     * A drawn request.
     *
     * @param repeats whether another request with the same idempotency key was sent before
     */
    record Drawn(Attempt attempt, boolean repeats) {}

    private final Deployment deployment;
    private final SplittableRandom random;
    private final List<Attempt> keyedAttempts = new ArrayList<>();

    RequestGenerator(Deployment deployment, SplittableRandom random) {
        this.deployment = deployment;
        this.random = random;
    }

    /** Draws a request that is sent at {@code nowMicros}; {@code light} says whether the load is light. */
    Drawn draw(long nowMicros, boolean light) {
        RequestClass requestClass = deployment.classes.get(random.nextInt(deployment.classes.size()));
        boolean repeats = requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && !keyedAttempts.isEmpty()
                && random.nextInt(4) == 0;
        Attempt original = repeats ? keyedAttempts.get(random.nextInt(keyedAttempts.size())) : null;
        String txn = String.format("%016x", random.nextLong());
        String key = original == null ? newKey(requestClass, txn) : original.key;
        RequestClass sentClass = original == null ? requestClass : original.requestClass;
        long limitMillis = sentClass.deadlineMillis()
                - (deployment.sendsLimit ? random.nextLong(sentClass.deadlineMillis() / 4) : 0);
        Attempt attempt = new Attempt(
                txn, sentClass, key, nowMicros, nowMicros + limitMillis * 1_000, 20 + random.nextInt(10), light);
        return new Drawn(attempt, repeats);
    }

    private String newKey(RequestClass requestClass, String txn) {
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            return "unique-" + txn;
        }
        boolean sharesResult = requestClass.idempotency() == Idempotency.IDEMPOTENT
                && deployment.sendsItem
                && deployment.freshMillis > 0;
        return sharesResult ? "item-" + random.nextInt(20) + requestClass.name() : null;
    }

    /** Records that a request is being sent, so that later requests may repeat it. */
    void markSent(Drawn drawn) {
        if (drawn.attempt().requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY && !drawn.repeats()) {
            keyedAttempts.add(drawn.attempt());
        }
    }

    /** Returns the parameters of a request. */
    JSONObject params(Drawn drawn) {
        Attempt attempt = drawn.attempt();
        JSONObject params = new JSONObject()
                .put("txn", attempt.txn)
                .put("door", attempt.sentMicros / 1_000)
                .put("ram", attempt.memoryKb)
                .put("blob", SimulatedKernel.encode(attempt.body()));
        if (deployment.sendsLimit) {
            params.put("limit", (attempt.dueMicros - attempt.sentMicros) / 1_000);
        }
        if (deployment.sendsCpuHint) {
            params.put("cpu", 30.5);
        }
        if (deployment.hasOptionalFields) {
            params.put("lb", 2).put("standing", random.nextDouble());
        }
        if (!deployment.tenants.isEmpty()) {
            params.put("team", deployment.tenants.get(random.nextInt(deployment.tenants.size())));
        }
        if (deployment.marksRetries && (drawn.repeats() || random.nextInt(5) == 0)) {
            params.put("second", 1);
        }
        if (attempt.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            params.put("unique", attempt.key);
        } else if (deployment.sendsItem && attempt.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            params.put("item", attempt.key == null ? "item-of-" + attempt.txn : attempt.key);
        }
        return params;
    }
}
