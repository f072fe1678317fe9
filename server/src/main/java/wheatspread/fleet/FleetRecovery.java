package wheatspread.fleet;

import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetState.RunningProcess;

/**
 * Takes over, instance by instance, what an earlier supervisor saved and left running.
 *
 * <p>Rule: a process that was found is adopted with its generation. Without one, a start that was recorded stays
 * unconfirmed for {@link FleetPlan#startConfirmationMicros}, since the process may not have taken its lock yet; any
 * other state with a process means that the process has exited unseen.
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

    /** {@code process} is null where none was found. An instance that the plan no longer has is drained. */
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
            controller.terminate(instance); // SIGTERM may not have been sent; a second one does no harm
            instance.stateSinceMicros = nowMicros;
        }
        // stale until its first answer, but not unresponsive
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
