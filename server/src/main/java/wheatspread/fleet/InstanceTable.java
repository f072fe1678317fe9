package wheatspread.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetInstance.State;

/**
 * The instances of a fleet in the order of the fleet's file, with the states that result from health checks. One thread
 * makes all calls.
 *
 * <p>One successful check makes an instance {@code HEALTHY}; {@link FleetPlan#unhealthyThreshold} consecutive failed
 * checks make it {@code UNHEALTHY}. An instance whose last answer is older than {@link FleetPlan#staleAfterMicros} is
 * stale and does not count as available: a rollout that relied on old answers could make more instances unavailable
 * than allowed.
 */
public final class InstanceTable {
    private final Map<String, FleetInstance> instances = new LinkedHashMap<>();
    private final long staleAfterMicros;
    private final int unhealthyThreshold;

    InstanceTable(FleetPlan plan) {
        staleAfterMicros = plan.staleAfterMicros();
        unhealthyThreshold = plan.unhealthyThreshold();
        plan.instances().forEach(name -> instances.put(name, new FleetInstance(name, plan.build())));
    }

    /** Returns the instance with this name; null if there is none. */
    public FleetInstance get(String name) {
        return instances.get(name);
    }

    /** Adds an instance that the plan no longer contains but whose process is still running. */
    FleetInstance add(String name, String build) {
        FleetInstance instance = new FleetInstance(name, build);
        instances.put(name, instance);
        return instance;
    }

    public Collection<FleetInstance> all() {
        return instances.values();
    }

    /** Returns the number of instances in a state. */
    public int count(State state) {
        return (int) instances.values().stream()
                .filter(instance -> instance.state == state)
                .count();
    }

    /** Returns whether the last answer of an instance to a health check is too old to be relied on. */
    public boolean isStale(FleetInstance instance, long nowMicros) {
        return instance.hasBeenHealthy() && instance.sinceLastAnswerMicros(nowMicros) > staleAfterMicros;
    }

    /** Returns whether an instance accepts requests according to a recent health check. */
    public boolean isAvailable(FleetInstance instance, long nowMicros) {
        return instance.state == State.HEALTHY && !isStale(instance, nowMicros);
    }

    /** Returns the instances that should run and are not available. */
    public List<FleetInstance> unavailable(long nowMicros) {
        List<FleetInstance> unavailable = new ArrayList<>();
        for (FleetInstance instance : instances.values()) {
            if (instance.shouldRun && !isAvailable(instance, nowMicros)) {
                unavailable.add(instance);
            }
        }
        return unavailable;
    }

    /**
     * Records the answer to a health check; an answer of an earlier generation is ignored. Returns whether the state of
     * the instance changed.
     */
    boolean recordHealthCheck(FleetInstance instance, int generation, Health health, long nowMicros) {
        if (instance.generation != generation || !instance.hasProcess()) {
            return false;
        }
        instance.lastCheckAtMicros = nowMicros;
        instance.health = health;
        instance.startUnconfirmedUntilMicros = 0;
        State before = instance.state;
        if (health.healthy()) {
            recordSuccessfulCheck(instance, nowMicros);
        } else {
            countFailedCheck(instance, nowMicros);
        }
        return instance.state != before;
    }

    /** Records a health check that was refused or timed out. Returns whether the state of the instance changed. */
    boolean recordFailedCheck(FleetInstance instance, int generation, long nowMicros) {
        State before = instance.state;
        if (instance.generation == generation) {
            countFailedCheck(instance, nowMicros);
        }
        return instance.state != before;
    }

    private static void recordSuccessfulCheck(FleetInstance instance, long nowMicros) {
        instance.consecutiveFailedChecks = 0;
        if (instance.state == State.STARTING || instance.state == State.UNHEALTHY) {
            instance.enterState(State.HEALTHY, nowMicros);
            if (instance.firstHealthyAtMicros == 0) {
                instance.firstHealthyAtMicros = nowMicros;
            }
        }
    }

    private void countFailedCheck(FleetInstance instance, long nowMicros) {
        if (instance.state != State.HEALTHY) {
            return;
        }
        instance.consecutiveFailedChecks++;
        if (instance.consecutiveFailedChecks >= unhealthyThreshold) {
            instance.enterState(State.UNHEALTHY, nowMicros);
        }
    }
}
