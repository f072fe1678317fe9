package wheatspread.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetState.Found;
import wheatspread.fleet.Member.Health;
import wheatspread.fleet.Member.State;
import wheatspread.logging.EventLog;

/**
 * All decisions of a supervisor: who starts, who gets its notice, who is ended, by {@link Roster},
 * {@link Restarts} and {@link Rollout}. It does no I/O and reads no clock; what is to be done comes back as
 * {@link Action}s, after the state that tells of them can be written down. Times are Unix microseconds.
 *
 * <p>One rule carries the recovery: a member is started only after its earlier process is known to have
 * ended, and each start is a generation of its own. A start whose outcome a dead supervisor did not note is
 * given time to show itself by its lock before another generation is started, and the lock lets one process
 * of a name go on.
 */
public final class Fleet {
    private final FleetPlan plan;
    private final FleetLog log;
    private final Roster roster;
    private final Restarts restarts;
    private final List<Action> due = new ArrayList<>();
    private Rollout roll;
    private boolean down;

    /** {@code seed} spreads the pauses of restarts. */
    public Fleet(FleetPlan plan, long seed, EventLog log) {
        this.plan = plan;
        this.log = new FleetLog(log);
        roster = new Roster(plan);
        restarts = new Restarts(plan.backoff(), seed);
    }

    public Roster roster() {
        return roster;
    }

    /** The last roll; null if there was none. */
    public Rollout roll() {
        return roll;
    }

    /** Whether the fleet is to go down and every process has ended. */
    public boolean isDown() {
        return down && roster.all().stream().noneMatch(Member::lives);
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
        for (Member one : roster.all()) {
            boolean named = names.isEmpty() ? one.wanted : names.contains(one.name);
            if (named && (count == 0 || chosen.size() < count)) {
                chosen.add(one.name);
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
        Member one = member(name);
        one.wanted = false;
        leave(one, now);
        if (one.state == State.HELD) {
            one.enter(State.ABSENT, now);
        }
    }

    /** A member that was drained or is held starts again. */
    public void start(String name, long now) {
        Member one = member(name);
        one.wanted = true;
        restarts.forgive(name);
        if (one.state == State.HELD) {
            one.enter(State.ABSENT, now);
        }
    }

    /** Everybody leaves. */
    public void goDown(long now) {
        down = true;
        if (roll != null && !roll.over()) {
            roll.stop("the fleet went down", now);
        }
        roster.all().forEach(one -> leave(one, now));
    }

    private Member member(String name) {
        Member one = roster.get(name);
        if (one == null) {
            throw new IllegalArgumentException("there is no member " + name);
        }
        return one;
    }

    // ---- what the supervisor sees ----

    /** The process of a member has a number. */
    public void spawned(String name, int generation, long pid) {
        Member one = roster.get(name);
        if (one != null && one.generation == generation) {
            one.pid = pid;
            one.unsureUntil = 0;
        }
    }

    /** A check was answered; {@code generation} is the one that was asked. */
    public void heard(String name, int generation, Health health, long now) {
        Member one = roster.get(name);
        if (one != null && roster.heard(one, generation, health, now)) {
            log.stateChanged(one, now);
        }
    }

    /** A check was refused, or not answered in time. */
    public void unheard(String name, int generation, long now) {
        Member one = roster.get(name);
        if (one != null && roster.unheard(one, generation, now)) {
            log.stateChanged(one, now);
        }
    }

    /** The process of a member ended; {@code code} is {@link Member#UNKNOWN_CODE} where nobody heard it. */
    public void ended(String name, int generation, int code, long now) {
        Member one = roster.get(name);
        if (one == null || one.generation != generation || !one.lives()) {
            return;
        }
        boolean asked = one.state == State.LEAVING;
        one.lastCode = code;
        one.everEnded = true;
        one.pid = 0;
        one.unsureUntil = 0;
        one.enter(State.ABSENT, now);
        log.ended(one, asked, now);
        Rollout.Status before = roll == null ? null : roll.status();
        if (roll != null) {
            roll.ended(one, asked, now);
        }
        boolean turned = roll != null && roll.status() != before;
        if (turned) {
            log.rollChanged(roll);
        }
        if (!asked && !turned && restarts.ended(name, now - one.startedAt, now)) {
            one.enter(State.HELD, now);
            log.held(one, plan.backoff());
            if (roll != null && roll.leads(name)) {
                roll.giveUp(one, now);
                log.rollChanged(roll);
            }
        }
    }

    // ---- decisions ----

    /** Looks at everything, and returns what is to be done, once the state is written down. */
    public List<Action> look(long now) {
        for (Member one : roster.all()) {
            watch(one, now);
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

    private void watch(Member one, long now) {
        if (one.unsureUntil > 0 && now >= one.unsureUntil) {
            // it never came about, or was gone at once; that is no fault of its build, and the next one will
            // tell
            one.unsureUntil = 0;
            one.enter(State.ABSENT, now);
            if (roll != null) {
                roll.neverStarted(one.name);
            }
            log.startUnseen(one);
        } else if (one.state == State.STARTING && now - one.startedAt > plan.startTimeout()) {
            kill(one, "not well in time", now);
        } else if (one.state == State.LEAVING && now - one.since > plan.stopAfter()) {
            kill(one, "still there after its time to leave", now);
        } else if (plan.hung() > 0
                && (one.state == State.UP || one.state == State.UNWELL)
                && now - Math.max(one.heardAt, one.wellAt) > plan.hung()) {
            kill(one, "answers no check", now);
        } else if (roll != null && roll.failing(one)) {
            roll.failed(
                    one,
                    "failed " + one.health.failed() + " of " + (one.health.served() + one.health.failed())
                            + " requests",
                    now);
            log.rollChanged(roll);
            if (roll.status() == Rollout.Status.RUNNING) {
                leave(one, now); // another generation of the same build gets a try
                roll.again(one);
            }
        }
    }

    private void kill(Member one, String why, long now) {
        if (!one.killed) {
            one.killed = true;
            due.add(new Action.Kill(one.name, one.generation, why));
            log.killed(one, why);
        }
    }

    /** The notice, where there is a process that has not had it. */
    private void leave(Member one, long now) {
        if (!one.lives() || one.state == State.LEAVING) {
            return;
        }
        one.enter(State.LEAVING, now);
        due.add(new Action.Notice(one.name, one.generation));
        log.leaves(one);
    }

    private void lookAtRoll(long now) {
        boolean paused = roll.paused();
        Rollout.Status before = roll.status();
        for (Member one : roll.look(roster, now)) {
            leave(one, now);
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
        for (Member one : roster.all()) {
            boolean led = roll != null && roll.leads(one.name);
            if (one.state == State.HELD && one.wanted && !restarts.held(one.name, now)) {
                one.enter(State.ABSENT, now);
            }
            if (one.state != State.ABSENT
                    || !one.wanted && !led
                    || !led && starting >= plan.startAtOnce()
                    || !restarts.mayStart(one.name, now)) {
                continue;
            }
            String told = roll == null ? null : roll.buildOf(one.name);
            one.begin(told == null ? one.build : told, now);
            if (roll != null) {
                roll.started(one.name);
            }
            starting++;
            due.add(new Action.Start(one.name, one.build, one.generation));
            log.starts(one);
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
    public void restore(FleetState told, Map<String, Found> alive, long now) {
        down = told.down();
        roll = told.roll() == null ? null : new Rollout(plan.rolling(), told.roll());
        Map<String, Found> left = new LinkedHashMap<>(alive);
        for (FleetState.Of was : told.members()) {
            Found found = left.remove(was.name());
            Member one = roster.get(was.name());
            if (one == null && found == null) {
                continue;
            }
            boolean stranger = one == null;
            one = stranger ? roster.add(was.name(), was.build()) : one;
            one.restore(was);
            one.wanted = was.wanted() && !stranger;
            restarts.restore(was);
            adopt(one, found, now);
            if (stranger) {
                leave(one, now);
            }
        }
        log.restored(told.members().size(), alive.size(), roll);
    }

    private void adopt(Member one, Found found, long now) {
        if (found != null) {
            one.pid = found.pid();
            one.generation = Math.max(one.generation, found.generation());
            if (!one.lives()) {
                one.enter(State.STARTING, now);
                one.startedAt = now;
            }
            if (one.state == State.LEAVING) {
                // the notice may not have been given; a second one does no harm
                due.add(new Action.Notice(one.name, one.generation));
                one.since = now;
            }
            one.heardAt = now - plan.stale() - 1; // stale until it is heard, but not taken for hung
        } else if (one.state == State.STARTING) {
            one.unsureUntil = now + plan.settle();
        } else if (one.lives()) {
            ended(one.name, one.generation, Member.UNKNOWN_CODE, now);
        }
    }

    /** Whether an earlier supervisor wrote a start of it down, and nobody knows yet whether it came about. */
    public boolean isUnsure(String name) {
        Member one = roster.get(name);
        return one != null && one.unsureUntil > 0;
    }
}
