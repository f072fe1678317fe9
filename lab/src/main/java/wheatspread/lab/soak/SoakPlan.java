package wheatspread.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What one seed draws for a run.
 *
 * @param seed the seed, which also determines the requests
 * @param servers the number of servers
 * @param requestsPerSecond the load on all JSON-RPC fronts together
 * @param misbehavingClients the number of misbehaving clients; 0 for none
 * @param steps the disturbances, one after the other
 */
record SoakPlan(long seed, int servers, double requestsPerSecond, int misbehavingClients, List<Step> steps) {
    private static final int MIN_SERVERS = 2;
    private static final int MIN_STEPS = 3;
    private static final int EXTRA_STEPS = 3;
    private static final double MIN_RATE = 15;
    private static final double EXTRA_RATE = 30;
    private static final int MIN_MISBEHAVING_CLIENTS = 50;
    private static final int EXTRA_MISBEHAVING_CLIENTS = 200;
    /** One run in this many has misbehaving clients. */
    private static final int MISBEHAVING_RUN_INTERVAL = 3;

    private static final int MAX_PAUSE_MS = 1_200;

    /**
     * One disturbance.
     *
     * @param kind what is done
     * @param server the index of the server that it is done to
     * @param pauseMillis how long the run goes on undisturbed before it
     * @param seed draws the details
     */
    record Step(Disturbance kind, int server, long pauseMillis, long seed) {}

    static SoakPlan draw(long seed) {
        return draw(seed, new Random(seed));
    }

    private static SoakPlan draw(long seed, Random random) {
        int servers = MIN_SERVERS + random.nextInt(2);
        double rate = MIN_RATE + EXTRA_RATE * random.nextDouble();
        int clients = random.nextInt(MISBEHAVING_RUN_INTERVAL) == 0
                ? MIN_MISBEHAVING_CLIENTS + random.nextInt(EXTRA_MISBEHAVING_CLIENTS)
                : 0;
        List<Step> steps = new ArrayList<>();
        Disturbance[] kinds = Disturbance.values();
        for (int i = MIN_STEPS + random.nextInt(EXTRA_STEPS); i > 0; i--) {
            steps.add(new Step(
                    kinds[random.nextInt(kinds.length)],
                    random.nextInt(servers),
                    random.nextInt(MAX_PAUSE_MS),
                    random.nextLong()));
        }
        return new SoakPlan(seed, servers, rate, clients, List.copyOf(steps));
    }
}
