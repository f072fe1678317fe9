package wheatspread.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetInstance.State;

/**
 * The instances of a fleet, in the order of the fleet's file, and their states from health checks.
 *
 * <p>Rule: a good check makes an instance {@code HEALTHY} at once; {@link FleetPlan#unhealthyThreshold} failed
 * checks in a row make it {@code UNHEALTHY}. An instance whose last answer is older than
 * {@link FleetPlan#staleAfterMicros} is stale: it does not count as available, since a rollout that goes by old
 * answers could take more of the fleet out than allowed.
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

    /** An instance by its name; null if there is none. */
    public FleetInstance get(String name) {
        return instances.get(name);
    }

    /** Adds an instance that the plan no longer has, but whose process still runs. */
    FleetInstance add(String name, String build) {
        FleetInstance instance = new FleetInstance(name, build);
        instances.put(name, instance);
        return instance;
    }

    public Collection<FleetInstance> all() {
        return instances.values();
    }

    /** How many are in a state. */
    public int count(State state) {
        return (int) instances.values().stream()
                .filter(instance -> instance.state == state)
                .count();
    }

    /** Whether its last answer to a health check is too old to go by. */
    public boolean isStale(FleetInstance instance, long nowMicros) {
        return instance.isChecked() && instance.silentMicros(nowMicros) > staleAfterMicros;
    }

    /** Whether it takes requests, as far as is known. */
    public boolean isAvailable(FleetInstance instance, long nowMicros) {
        return instance.state == State.HEALTHY && !isStale(instance, nowMicros);
    }

    /** Those that should run and are not available. */
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
     * A health check was answered. A check of an earlier generation changes nothing. Returns whether the state of
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
            recordGoodCheck(instance, nowMicros);
        } else {
            countFailedCheck(instance, nowMicros);
        }
        return instance.state != before;
    }

    /** A health check was refused or not answered in time. Returns whether the state of the instance changed. */
    boolean recordFailedCheck(FleetInstance instance, int generation, long nowMicros) {
        State before = instance.state;
        if (instance.generation == generation) {
            countFailedCheck(instance, nowMicros);
        }
        return instance.state != before;
    }

    private static void recordGoodCheck(FleetInstance instance, long nowMicros) {
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
