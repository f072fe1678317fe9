package wheatspread.supervisor;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.Action;
import wheatspread.fleet.FleetController;
import wheatspread.fleet.FleetInstance;
import wheatspread.fleet.FleetState;
import wheatspread.fleet.FleetState.Found;
import wheatspread.logging.EventLog;

/**
 * Carries out what a {@link FleetController} decides on a {@link HostOperations}. The order of each turn makes a
 * crash at any
 * step harmless: look, write the state down, then act. Whoever comes next finds the intent written, and the
 * processes by their locks.
 */
final class Supervisor {
    private final FleetController fleet;
    private final HostOperations machine;
    private final long checkEvery;
    private final EventLog log;
    private final Map<String, Long> nextCheck = new HashMap<>();
    private FleetState saved;
    /** The time of the turn under way, by which answers count. */
    private long clock;

    /** {@code checkEvery}: microseconds between two checks of a member. */
    Supervisor(FleetController fleet, HostOperations machine, long checkEvery, EventLog log) {
        this.fleet = fleet;
        this.machine = machine;
        this.checkEvery = checkEvery;
        this.log = log;
    }

    /** Finds what an earlier supervisor left, if there was one. */
    void begin(long now) throws IOException {
        FleetState told = machine.load();
        if (told == null) {
            return;
        }
        Map<String, Found> alive = new LinkedHashMap<>();
        for (FleetState.Of one : told.members()) {
            Found found = machine.holder(one.name());
            if (found != null) {
                alive.put(one.name(), found);
                machine.watch(one.name(), found.pid());
            }
        }
        fleet.restore(told, alive, now);
    }

    /** One look at everything, and what follows from it. Returns whether the fleet is down and done. */
    boolean turn(long now) throws IOException {
        clock = now;
        machine.pump();
        for (Map.Entry<String, Integer> end : machine.ended().entrySet()) {
            fleet.ended(end.getKey(), fleet.roster().get(end.getKey()).generation(), end.getValue(), now);
        }
        for (FleetInstance one : List.copyOf(fleet.roster().all())) {
            resolve(one);
            check(one, now);
        }
        List<Action> actions = fleet.look(now);
        FleetState state = fleet.state();
        if (!state.equals(saved)) {
            machine.save(state);
            saved = state;
        }
        for (Action action : actions) {
            act(action, now);
        }
        return fleet.isDown();
    }

    /** A start that an earlier supervisor may or may not have made: the lock tells as soon as it is taken. */
    private void resolve(FleetInstance one) throws IOException {
        if (fleet.isUnsure(one.name())) {
            Found found = machine.holder(one.name());
            if (found != null && found.generation() == one.generation()) {
                machine.watch(one.name(), found.pid());
                fleet.spawned(one.name(), one.generation(), found.pid());
            }
        }
    }

    private void check(FleetInstance one, long now) {
        if (!one.lives()
                || one.state() == FleetInstance.State.LEAVING
                || nextCheck.getOrDefault(one.name(), 0L) > now) {
            return;
        }
        nextCheck.put(one.name(), now + checkEvery);
        int generation = one.generation();
        machine.check(one.name(), generation, health -> answered(one.name(), generation, health));
    }

    private void answered(String name, int generation, FleetInstance.Health health) {
        if (health == null) {
            fleet.unheard(name, generation, clock);
        } else {
            fleet.heard(name, generation, health, clock);
        }
    }

    private void act(Action action, long now) {
        String name = action.member();
        long pid = fleet.roster().get(name).pid();
        if (action instanceof Action.Start start) {
            try {
                Found found = machine.holder(name);
                if (found != null) { // of a start in doubt that took its time; a second would end at its lock
                    machine.watch(name, found.pid());
                    fleet.spawned(name, start.generation(), found.pid());
                    log.warn("member_found", "name", name, "generation", found.generation());
                    return;
                }
                fleet.spawned(name, start.generation(), machine.start(name, start.build(), start.generation()));
            } catch (IOException e) {
                log.error("spawn_failed", "name", name, "build", start.build(), "error", e.getMessage());
                fleet.ended(name, start.generation(), FleetInstance.UNKNOWN_CODE, now);
            }
        } else if (pid > 0 && action instanceof Action.Notice) {
            machine.terminate(name, pid);
        } else if (pid > 0) {
            machine.kill(name, pid);
        }
    }
}
