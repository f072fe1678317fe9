package wheatspread.fleet;

import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetState.RunningProcess;

/**
 * Restores the instances that an earlier supervisor saved, and adopts the processes that it left running.
 *
 * <p>A running process is adopted with its generation. If no process was found, a recorded start remains unconfirmed
 * for {@link FleetPlan#startConfirmationMicros}, since the process may not have taken its lock yet; an instance
 * that was saved in any other state with a process has lost the process while no supervisor ran.
 */
final class FleetRecovery {
    private final FleetPlan plan;
    private final InstanceTable instances;
    private final RestartBackoff backoff;
    private final FleetController controller;

    FleetRecovery(FleetPlan plan, InstanceTable instances, RestartBackoff backoff, FleetController controller) {
        this.plan = plan;
        this.instances = instances;
        this.backoff = backoff;
        this.controller = controller;
    }

    /**
     * Restores one instance. An instance that the plan no longer contains is drained.
     *
     * @param process the running process of the instance; null if none was found
     */
    void restore(FleetState.InstanceRecord saved, RunningProcess process, long nowMicros) {
        FleetInstance planned = instances.get(saved.name());
        if (planned == null && process == null) {
            return;
        }
        FleetInstance instance = planned == null ? instances.add(saved.name(), saved.build()) : planned;
        instance.restore(saved);
        instance.shouldRun = saved.shouldRun() && planned != null;
        backoff.restore(saved);
        if (process != null) {
            adopt(instance, process, nowMicros);
        } else {
            restoreWithoutProcess(instance, nowMicros);
        }
        if (planned == null) {
            controller.beginDrain(instance, nowMicros);
        }
    }

    private void adopt(FleetInstance instance, RunningProcess process, long nowMicros) {
        instance.pid = process.pid();
        instance.generation = Math.max(instance.generation, process.generation());
        if (!instance.hasProcess()) {
            instance.enterState(State.STARTING, nowMicros);
            instance.startedAtMicros = nowMicros;
        }
        if (instance.state == State.DRAINING) {
            controller.terminate(instance); // SIGTERM may not have been sent; sending it twice is harmless
            instance.stateSinceMicros = nowMicros;
        }
        // the instance is stale until its first answered check, but not yet unresponsive
        instance.lastCheckAtMicros = nowMicros - plan.staleAfterMicros() - 1;
    }

    private void restoreWithoutProcess(FleetInstance instance, long nowMicros) {
        if (instance.state == State.STARTING) {
            instance.startUnconfirmedUntilMicros = nowMicros + plan.startConfirmationMicros();
        } else if (instance.hasProcess()) {
            controller.processExited(instance.name, instance.generation, FleetInstance.UNKNOWN_EXIT_CODE, nowMicros);
        }
    }
}
