package wheatspread.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetState.Found;
import wheatspread.logging.EventLog;

/**
 * All decisions of a supervisor: who starts, who gets its notice, who is ended, by {@link InstanceTable},
 * {@link RestartBackoff} and {@link Rollout}. It does no I/O and reads no clock; what is to be done comes back as
 * {@link Action}s, after the state that tells of them can be written down. Times are Unix microseconds.
 *
 * <p>One rule carries the recovery: a member is started only after its earlier process is known to have
 * ended, and each start is a generation of its own. A start whose outcome a dead supervisor did not note is
 * given time to show itself by its lock before another generation is started, and the lock lets one process
 * of a name go on.
 */
public final class FleetController {
    private final FleetPlan plan;
    private final FleetLog log;
    private final InstanceTable roster;
    private final RestartBackoff restarts;
    private final List<Action> due = new ArrayList<>();
    private Rollout roll;
    private boolean down;

    /** {@code seed} spreads the pauses of restarts. */
    public FleetController(FleetPlan plan, long seed, EventLog log) {
        this.plan = plan;
        this.log = new FleetLog(log);
        roster = new InstanceTable(plan);
        restarts = new RestartBackoff(plan.backoff(), seed);
    }

    public InstanceTable roster() {
        return roster;
    }

    /** The last roll; null if there was none. */
    public Rollout roll() {
        return roll;
    }

    /** Whether the fleet is to go down and every process has ended. */
    public boolean isDown() {
        return down && roster.all().stream().noneMatch(FleetInstance::lives);
    }

    public boolean goingDown() {
        return down;
    }

    // ---- what an operator asks ----

    /**
     * Rolls members to a build. {@code names} are those to be rolled, none for all; {@code count} bounds
     * them, 0 for no bound. Complains if that cannot begin.
     */
    public void roll(String to, List<String> names, int count, long now) {
        if (down) {
            throw new IllegalArgumentException("the fleet is going down");
        }
        if (roll != null && !roll.over()) {
            throw new IllegalArgumentException("a roll to " + roll.to() + " goes on");
        }
        List<String> chosen = new ArrayList<>();
        for (FleetInstance member : roster.all()) {
            boolean named = names.isEmpty() ? member.wanted : names.contains(member.name);
            if (named && (count == 0 || chosen.size() < count)) {
                chosen.add(member.name);
            }
        }
        for (String name : names) {
            member(name);
        }
        if (chosen.isEmpty()) {
            throw new IllegalArgumentException("there is nobody to roll");
        }
        String from = roster.get(chosen.get(0)).build;
        roll = new Rollout(plan.rolling(), from, to, chosen, now);
        chosen.forEach(restarts::forgive);
        log.rollBegan(
                from, to, chosen.size(), plan.rolling().mostOut(roster.all().size()));
    }

    /** Stops a roll where it stands. */
    public void stopRoll(long now) {
        if (roll == null || roll.over()) {
            throw new IllegalArgumentException("no roll goes on");
        }
        roll.stop("stopped by an operator", now);
    }

    /** A member leaves and stays away. */
    public void drain(String name, long now) {
        FleetInstance member = member(name);
        member.wanted = false;
        leave(member, now);
        if (member.state == State.HELD) {
            member.enter(State.ABSENT, now);
        }
    }

    /** A member that was drained or is held starts again. */
    public void start(String name, long now) {
        FleetInstance member = member(name);
        member.wanted = true;
        restarts.forgive(name);
        if (member.state == State.HELD) {
            member.enter(State.ABSENT, now);
        }
    }

    /** Everybody leaves. */
    public void goDown(long now) {
        down = true;
        if (roll != null && !roll.over()) {
            roll.stop("the fleet went down", now);
        }
        roster.all().forEach(member -> leave(member, now));
    }

    private FleetInstance member(String name) {
        FleetInstance member = roster.get(name);
        if (member == null) {
            throw new IllegalArgumentException("there is no member " + name);
        }
        return member;
    }

    // ---- what the supervisor sees ----

    /** The process of a member has a number. */
    public void spawned(String name, int generation, long pid) {
        FleetInstance member = roster.get(name);
        if (member != null && member.generation == generation) {
            member.pid = pid;
            member.unsureUntil = 0;
        }
    }

    /** A check was answered; {@code generation} is the one that was asked. */
    public void heard(String name, int generation, Health health, long now) {
        FleetInstance member = roster.get(name);
        if (member != null && roster.heard(member, generation, health, now)) {
            log.stateChanged(member, now);
        }
    }

    /** A check was refused, or not answered in time. */
    public void unheard(String name, int generation, long now) {
        FleetInstance member = roster.get(name);
        if (member != null && roster.unheard(member, generation, now)) {
            log.stateChanged(member, now);
        }
    }

    /** The process of a member ended; {@code code} is {@link FleetInstance#UNKNOWN_CODE} where nobody heard it. */
    public void ended(String name, int generation, int code, long now) {
        FleetInstance member = roster.get(name);
        if (member == null || member.generation != generation || !member.lives()) {
            return;
        }
        boolean asked = member.state == State.LEAVING;
        member.lastCode = code;
        member.everEnded = true;
        member.pid = 0;
        member.unsureUntil = 0;
        member.enter(State.ABSENT, now);
        log.ended(member, asked, now);
        Rollout.Status before = roll == null ? null : roll.status();
        if (roll != null) {
            roll.ended(member, asked, now);
        }
        boolean turned = roll != null && roll.status() != before;
        if (turned) {
            log.rollChanged(roll);
        }
        if (!asked && !turned && restarts.ended(name, now - member.startedAt, now)) {
            member.enter(State.HELD, now);
            log.held(member, plan.backoff());
            if (roll != null && roll.leads(name)) {
                roll.giveUp(member, now);
                log.rollChanged(roll);
            }
        }
    }

    // ---- decisions ----

    /** Looks at everything, and returns what is to be done, once the state is written down. */
    public List<Action> look(long now) {
        for (FleetInstance member : roster.all()) {
            watch(member, now);
        }
        if (roll != null && !roll.over()) {
            lookAtRoll(now);
        }
        if (!down) {
            startDue(now);
        }
        List<Action> actions = List.copyOf(due);
        due.clear();
        return actions;
    }

    private void watch(FleetInstance member, long now) {
        if (member.unsureUntil > 0 && now >= member.unsureUntil) {
            // it never came about, or was gone at once; that is no fault of its build, and the next one will
            // tell
            member.unsureUntil = 0;
            member.enter(State.ABSENT, now);
            if (roll != null) {
                roll.neverStarted(member.name);
            }
            log.startUnseen(member);
        } else if (member.state == State.STARTING && now - member.startedAt > plan.startTimeout()) {
            kill(member, "not well in time", now);
        } else if (member.state == State.LEAVING && now - member.since > plan.stopAfter()) {
            kill(member, "still there after its time to leave", now);
        } else if (plan.hung() > 0
                && (member.state == State.UP || member.state == State.UNWELL)
                && now - Math.max(member.heardAt, member.wellAt) > plan.hung()) {
            kill(member, "answers no check", now);
        } else if (roll != null && roll.failing(member)) {
            roll.failed(
                    member,
                    "failed " + member.health.failed() + " of " + (member.health.served() + member.health.failed())
                            + " requests",
                    now);
            log.rollChanged(roll);
            if (roll.status() == Rollout.Status.RUNNING) {
                leave(member, now); // another generation of the same build gets a try
                roll.again(member);
            }
        }
    }

    private void kill(FleetInstance member, String why, long now) {
        if (!member.killed) {
            member.killed = true;
            due.add(new Action.Kill(member.name, member.generation, why));
            log.killed(member, why);
        }
    }

    /** The notice, where there is a process that has not had it. */
    private void leave(FleetInstance member, long now) {
        if (!member.lives() || member.state == State.LEAVING) {
            return;
        }
        member.enter(State.LEAVING, now);
        due.add(new Action.Notice(member.name, member.generation));
        log.leaves(member);
    }

    private void lookAtRoll(long now) {
        boolean paused = roll.paused();
        Rollout.Status before = roll.status();
        for (FleetInstance member : roll.look(roster, now)) {
            leave(member, now);
        }
        if (roll.paused() != paused) {
            log.rollPaused(roll, roster.out(now).size());
        }
        if (roll.status() != before) {
            log.rollChanged(roll);
        }
    }

    /** Members that want a process and have none, as many at once as may start together. */
    private void startDue(long now) {
        int starting = roster.count(State.STARTING);
        for (FleetInstance member : roster.all()) {
            boolean led = roll != null && roll.leads(member.name);
            if (member.state == State.HELD && member.wanted && !restarts.held(member.name, now)) {
                member.enter(State.ABSENT, now);
            }
            if (member.state != State.ABSENT
                    || !member.wanted && !led
                    || !led && starting >= plan.startAtOnce()
                    || !restarts.mayStart(member.name, now)) {
                continue;
            }
            String build = roll == null ? null : roll.buildOf(member.name);
            member.begin(build == null ? member.build : build, now);
            if (roll != null) {
                roll.started(member.name);
            }
            starting++;
            due.add(new Action.Start(member.name, member.build, member.generation));
            log.starts(member);
        }
    }

    // ---- across the end of a supervisor ----

    /** What is to be written down before the actions that were last returned are carried out. */
    public FleetState state() {
        return FleetState.of(roster, restarts, roll, down);
    }

    /**
     * Goes on from what an earlier supervisor wrote down and from the processes that were found alive, by
     * name. Members that the plan no longer has are told to leave, and stay in the roster until they did.
     */
    public void restore(FleetState saved, Map<String, Found> alive, long now) {
        down = saved.down();
        roll = saved.roll() == null ? null : new Rollout(plan.rolling(), saved.roll());
        Map<String, Found> left = new LinkedHashMap<>(alive);
        for (FleetState.Of savedMember : saved.members()) {
            Found found = left.remove(savedMember.name());
            FleetInstance member = roster.get(savedMember.name());
            if (member == null && found == null) {
                continue;
            }
            boolean unplanned = member == null;
            member = unplanned ? roster.add(savedMember.name(), savedMember.build()) : member;
            member.restore(savedMember);
            member.wanted = savedMember.wanted() && !unplanned;
            restarts.restore(savedMember);
            adopt(member, found, now);
            if (unplanned) {
                leave(member, now);
            }
        }
        log.restored(saved.members().size(), alive.size(), roll);
    }

    private void adopt(FleetInstance member, Found found, long now) {
        if (found != null) {
            member.pid = found.pid();
            member.generation = Math.max(member.generation, found.generation());
            if (!member.lives()) {
                member.enter(State.STARTING, now);
                member.startedAt = now;
            }
            if (member.state == State.LEAVING) {
                // the notice may not have been given; a second one does no harm
                due.add(new Action.Notice(member.name, member.generation));
                member.since = now;
            }
            member.heardAt = now - plan.stale() - 1; // stale until it is heard, but not taken for hung
        } else if (member.state == State.STARTING) {
            member.unsureUntil = now + plan.settle();
        } else if (member.lives()) {
            ended(member.name, member.generation, FleetInstance.UNKNOWN_CODE, now);
        }
    }

    /** Whether an earlier supervisor wrote a start of it down, and nobody knows yet whether it came about. */
    public boolean isUnsure(String name) {
        FleetInstance member = roster.get(name);
        return member != null && member.unsureUntil > 0;
    }
}
