package wheatspread.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetPlan.Rolling;

/**
 * Replaces a build by another, member by member: never more of the fleet out of service than is allowed,
 * whatever put it there; the next member only once successors have proven themselves; an end by itself as
 * soon as successors fail; and, where that is wanted, the way back. It decides which member gets its notice
 * next and which build a member is to run; {@link Fleet} starts and stops. No I/O; times are Unix
 * microseconds.
 */
public final class Rollout {
    /** How far a roll has come. */
    public enum Status {
        RUNNING("RUNNING"),
        ROLLING_BACK("ROLLING_BACK"),
        DONE("DONE"),
        STOPPED("STOPPED"),
        ROLLED_BACK("ROLLED_BACK");

        private final String storedName;

        Status(String storedName) {
            this.storedName = storedName;
        }

        /** The name in files and in the log. It stays when the constant is renamed. */
        public String storedName() {
            return storedName;
        }

        /** The constant with this stored name; an unknown name is an {@link IllegalArgumentException}. */
        public static Status fromStoredName(String storedName) {
            for (Status status : values()) {
                if (status.storedName.equals(storedName)) {
                    return status;
                }
            }
            throw new IllegalArgumentException("unknown status: " + storedName);
        }
    }

    /** How far a member of it has come. {@code GONE} is one that has left or fell, and is to start anew. */
    public enum Step {
        WAITING("WAITING"),
        LEAVING("LEAVING"),
        GONE("GONE"),
        STARTING("STARTING"),
        PROVING("PROVING"),
        DONE("DONE");

        private final String storedName;

        Step(String storedName) {
            this.storedName = storedName;
        }

        /** The name in files and in the log. It stays when the constant is renamed. */
        public String storedName() {
            return storedName;
        }

        /** The constant with this stored name; an unknown name is an {@link IllegalArgumentException}. */
        public static Step fromStoredName(String storedName) {
            for (Step step : values()) {
                if (step.storedName.equals(storedName)) {
                    return step;
                }
            }
            throw new IllegalArgumentException("unknown step: " + storedName);
        }
    }

    private final Rolling rules;
    private final String from;
    private final String to;
    private final long beganAt;
    private final Map<String, Step> steps = new LinkedHashMap<>();
    private Status status = Status.RUNNING;
    private String reason = "";
    private int failures;
    private boolean paused;
    private long endedAt;

    Rollout(Rolling rules, String from, String to, List<String> names, long now) {
        this.rules = rules;
        this.from = from;
        this.to = to;
        beganAt = now;
        names.forEach(name -> steps.put(name, Step.WAITING));
    }

    /** One that a supervisor had written down. */
    Rollout(Rolling rules, FleetState.Roll told) {
        this.rules = rules;
        from = told.from();
        to = told.to();
        beganAt = told.beganAt();
        endedAt = told.endedAt();
        status = told.status();
        reason = told.reason();
        failures = told.failures();
        steps.putAll(told.steps());
    }

    FleetState.Roll state() {
        return new FleetState.Roll(from, to, status, reason, failures, beganAt, endedAt, new LinkedHashMap<>(steps));
    }

    public Status status() {
        return status;
    }

    /** Why it stopped; empty if it did not. */
    public String reason() {
        return reason;
    }

    /** Whether it waits since too much of the fleet is out of service for other reasons. */
    public boolean paused() {
        return paused;
    }

    public String to() {
        return to;
    }

    public long beganAt() {
        return beganAt;
    }

    /** When it ended; 0 while it goes on. */
    public long endedAt() {
        return endedAt;
    }

    public boolean over() {
        return status != Status.RUNNING && status != Status.ROLLING_BACK;
    }

    /** How many of its members have come so far. */
    public int count(Step step) {
        return (int) steps.values().stream().filter(current -> current == step).count();
    }

    public int size() {
        return steps.size();
    }

    /** Whether it leads a member now, so that its start is the roll's business. */
    boolean leads(String name) {
        Step step = steps.get(name);
        return !over() && step != null && step != Step.WAITING && step != Step.DONE;
    }

    /** The build that a member is to start with; null where the roll has no say. */
    String buildOf(String name) {
        Step step = steps.get(name);
        if (step == null || over() && status != Status.ROLLED_BACK && status != Status.DONE) {
            return null;
        }
        if (status == Status.ROLLING_BACK || status == Status.ROLLED_BACK) {
            return from;
        }
        return step == Step.WAITING ? null : to;
    }

    /** A process of a member ended; {@code asked} says whether it had got its notice. */
    void ended(FleetInstance member, boolean asked, long now) {
        Step step = steps.get(member.name);
        if (over() || step == null) {
            return;
        }
        if (step == Step.LEAVING) {
            steps.put(member.name, Step.GONE);
            return;
        }
        boolean successor = member.build.equals(to) && step != Step.WAITING;
        if (status == Status.ROLLING_BACK) {
            steps.put(member.name, Step.GONE); // whichever build it was, the old one is next
        } else if (successor && !asked) {
            steps.put(member.name, Step.GONE);
            failed(
                    member,
                    "ended with "
                            + (member.lastCode == FleetInstance.UNKNOWN_CODE
                                    ? "an unknown code"
                                    : "code " + member.lastCode)
                            + " " + when(member, now),
                    now);
        }
    }

    private static String when(FleetInstance member, long now) {
        return member.wellAt == 0 ? "before it was well" : (now - member.wellAt) / 1_000 + " ms after it was well";
    }

    /** It was not well in time, or fails too much of what it is asked. */
    void failed(FleetInstance member, String how, long now) {
        failures++;
        if (status == Status.RUNNING && failures >= rules.mostFailures()) {
            reason = member.name + ": generation " + member.generation + " of build " + to + " " + how;
            if (rules.rollBack()) {
                status = Status.ROLLING_BACK;
                steps.replaceAll((name, step) -> step == Step.WAITING
                        ? Step.DONE
                        : step == Step.GONE || step == Step.LEAVING ? step : Step.WAITING);
            } else {
                end(Status.STOPPED, now);
            }
        }
    }

    /** A successor that was failing got its notice, and another generation gets a try. */
    void again(FleetInstance member) {
        if (steps.containsKey(member.name)) {
            steps.put(member.name, Step.LEAVING);
        }
    }

    /** A member of it is held as a crash loop: that ends the roll, or the way back as far as it goes. */
    void giveUp(FleetInstance member, long now) {
        if (status == Status.ROLLING_BACK) {
            reason += "; " + member.name + " is held";
            steps.put(member.name, Step.DONE);
        } else {
            failures = rules.mostFailures() - 1;
            failed(member, "is held as a crash loop", now);
        }
    }

    private void end(Status how, long now) {
        status = how;
        endedAt = now;
        paused = false;
    }

    /** An operator stops it where it stands. */
    void stop(String why, long now) {
        if (!over()) {
            reason = why;
            end(Status.STOPPED, now);
        }
    }

    /** A member was started for the roll. */
    void started(String name) {
        if (leads(name)) {
            steps.put(name, Step.STARTING);
        }
    }

    /** A start that was written down never came about. */
    void neverStarted(String name) {
        if (leads(name)) {
            steps.put(name, Step.GONE);
        }
    }

    /**
     * Looks at everybody, and returns who is to get the notice now. {@code roster} tells who is in service; a
     * successor that has yet to prove itself does not count as such.
     */
    List<FleetInstance> look(InstanceTable roster, long now) {
        if (over()) {
            return List.of();
        }
        for (Map.Entry<String, Step> entry : steps.entrySet()) {
            FleetInstance member = roster.get(entry.getKey());
            if (member == null || !member.wanted && entry.getValue() == Step.WAITING) {
                entry.setValue(Step.DONE); // it left the fleet, or an operator has taken it out
            } else {
                entry.setValue(advance(entry.getValue(), member, now));
            }
        }
        List<FleetInstance> next = next(roster, now);
        if (!over() && steps.values().stream().allMatch(step -> step == Step.DONE)) {
            end(status == Status.RUNNING ? Status.DONE : Status.ROLLED_BACK, now);
        }
        return next;
    }

    private Step advance(Step step, FleetInstance member, long now) {
        if (step == Step.STARTING && member.state == State.UP) {
            return status == Status.ROLLING_BACK ? Step.DONE : Step.PROVING;
        }
        if (step == Step.PROVING && proven(member, now)) {
            return Step.DONE;
        }
        if (step == Step.WAITING
                && status == Status.ROLLING_BACK
                && member.build.equals(from)
                && member.state != State.LEAVING) {
            return Step.DONE; // it never left the old build
        }
        return step;
    }

    /** Well for long enough, and with answers to show or well for so long that nobody asks. */
    private boolean proven(FleetInstance member, long now) {
        if (member.state != State.UP || member.health == null || member.wellAt == 0) {
            return false;
        }
        long well = now - member.wellAt;
        return well >= rules.provenAfter()
                && (member.health.served() >= rules.provenAnswers() || well >= rules.provenPatience());
    }

    /** Whether a successor fails more of what it is asked than is allowed, by enough answers to tell. */
    boolean failing(FleetInstance member) {
        if (over()
                || status == Status.ROLLING_BACK
                || member.health == null
                || !member.build.equals(to)
                || steps.get(member.name) != Step.PROVING) {
            return false;
        }
        long answers = member.health.served() + member.health.failed();
        return answers >= Math.max(10, rules.provenAnswers()) && member.health.failed() > rules.failedShare() * answers;
    }

    private List<FleetInstance> next(InstanceTable roster, long now) {
        int most = rules.mostOut(roster.all().size());
        int out = 0;
        int strangers = 0;
        for (FleetInstance member : roster.all()) {
            boolean led = leads(member.name);
            if (led || member.wanted && !roster.inService(member, now)) {
                out++;
                strangers += led ? 0 : 1;
            }
        }
        List<FleetInstance> next = new ArrayList<>();
        boolean waiting = false;
        for (Map.Entry<String, Step> entry : steps.entrySet()) {
            if (entry.getValue() != Step.WAITING) {
                continue;
            }
            FleetInstance member = roster.get(entry.getKey());
            // one that is known to be out loses nothing by its change; one not heard lately may well serve
            boolean free = member.wanted && member.state != State.UP;
            if (out < most || free) {
                out += free ? 0 : 1;
                entry.setValue(member.lives() ? Step.LEAVING : Step.GONE);
                if (member.lives() && member.state != State.LEAVING) {
                    next.add(member);
                }
            } else {
                waiting = true;
            }
        }
        paused = waiting && strangers > 0;
        return next;
    }
}
