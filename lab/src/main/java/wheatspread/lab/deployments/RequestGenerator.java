package wheatspread.lab.deployments;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.lab.deployments.Deployment.Kind;
import wheatspread.lab.deployments.RuleChecker.Try;

/** Draws requests that a deployment's clients may send, repeats of keyed ones among them. */
final class RequestGenerator {
    /**
     * A request that was drawn.
     *
     * @param repeats whether another request with its key was sent before
     */
    record Drawn(Try request, boolean repeats) {}

    private final Deployment deployment;
    private final SplittableRandom random;
    private final List<Try> keyed = new ArrayList<>();

    RequestGenerator(Deployment deployment, SplittableRandom random) {
        this.deployment = deployment;
        this.random = random;
    }

    /** A request that comes now; {@code light} where the load is light. */
    Drawn draw(long now, boolean light) {
        Kind kind = deployment.kinds.get(random.nextInt(deployment.kinds.size()));
        boolean repeats = kind.effect() == Idempotency.IDEMPOTENCY_KEY && !keyed.isEmpty() && random.nextInt(4) == 0;
        Try first = repeats ? keyed.get(random.nextInt(keyed.size())) : null;
        String txn = String.format("%016x", random.nextLong());
        String key = first == null ? newKey(kind, txn) : first.key;
        Kind asked = first == null ? kind : first.kind;
        long limit = asked.deadline() - (deployment.limited ? random.nextLong(asked.deadline() / 4) : 0);
        Try request = new Try(txn, asked, key, now, now + limit * 1_000, 20 + random.nextInt(10), light);
        return new Drawn(request, repeats);
    }

    private String newKey(Kind kind, String txn) {
        if (kind.effect() == Idempotency.IDEMPOTENCY_KEY) {
            return "unique-" + txn;
        }
        boolean mayShare = kind.effect() == Idempotency.IDEMPOTENT && deployment.items && deployment.fresh > 0;
        return mayShare ? "item-" + random.nextInt(20) + kind.name() : null;
    }

    /** The request is being sent: later ones may repeat it. */
    void sent(Drawn drawn) {
        if (drawn.request().kind.effect() == Idempotency.IDEMPOTENCY_KEY && !drawn.repeats()) {
            keyed.add(drawn.request());
        }
    }

    /** The parameters that go with a request. */
    JSONObject params(Drawn drawn) {
        Try request = drawn.request();
        JSONObject params = new JSONObject()
                .put("txn", request.txn)
                .put("door", request.door / 1_000)
                .put("ram", request.ram)
                .put("blob", SimulatedKernel.encode(request.body()));
        if (deployment.limited) {
            params.put("limit", (request.due - request.door) / 1_000);
        }
        if (deployment.hinted) {
            params.put("cpu", 30.5);
        }
        if (deployment.named) {
            params.put("lb", 2).put("standing", random.nextDouble());
        }
        if (!deployment.tenants.isEmpty()) {
            params.put("team", deployment.tenants.get(random.nextInt(deployment.tenants.size())));
        }
        if (deployment.marked && (drawn.repeats() || random.nextInt(5) == 0)) {
            params.put("second", 1);
        }
        if (request.kind.effect() == Idempotency.IDEMPOTENCY_KEY) {
            params.put("unique", request.key);
        } else if (deployment.items && request.kind.effect() == Idempotency.IDEMPOTENT) {
            params.put("item", request.key == null ? "item-of-" + request.txn : request.key);
        }
        return params;
    }
}
