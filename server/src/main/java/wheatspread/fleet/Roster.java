package wheatspread.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.Member.Health;
import wheatspread.fleet.Member.State;

/**
 * The members of a fleet, their generations, and their states from checks and from the ends of their
 * processes. What was not heard lately is said to be stale, and a stale member does not count as in service.
 * No I/O.
 */
public final class Roster {
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final long stale;
    private final int badAfter;

    Roster(FleetPlan plan) {
        stale = plan.stale();
        badAfter = plan.badAfter();
        plan.members().forEach(name -> members.put(name, new Member(name, plan.build())));
    }

    /** A member by its name; null if there is none. */
    public Member get(String name) {
        return members.get(name);
    }

    /** One that a plan no longer has, but that lives. */
    Member add(String name, String build) {
        Member one = new Member(name, build);
        members.put(name, one);
        return one;
    }

    public Collection<Member> all() {
        return members.values();
    }

    /** How many are in a state. */
    public int count(State state) {
        return (int) members.values().stream().filter(one -> one.state == state).count();
    }

    /** Whether what is known of it is too old to go by. */
    public boolean isStale(Member one, long now) {
        boolean checked = one.state == State.UP || one.state == State.UNWELL;
        return checked && now - Math.max(one.heardAt, one.wellAt) > stale;
    }

    /** Whether it takes work, as far as is known. */
    public boolean inService(Member one, long now) {
        return one.state == State.UP && !isStale(one, now);
    }

    /** Those wanted that are not in service. */
    public List<Member> out(long now) {
        List<Member> out = new ArrayList<>();
        for (Member one : members.values()) {
            if (one.wanted && !inService(one, now)) {
                out.add(one);
            }
        }
        return out;
    }

    /** A check was answered. Checks of an earlier generation say nothing. */
    boolean heard(Member one, int generation, Health health, long now) {
        if (one.generation != generation || !one.lives()) {
            return false;
        }
        one.heardAt = now;
        one.health = health;
        one.unsureUntil = 0;
        State before = one.state;
        if (health.well()) {
            one.badChecks = 0;
            if (one.state == State.STARTING || one.state == State.UNWELL) {
                one.enter(State.UP, now);
                one.wellAt = one.wellAt == 0 ? now : one.wellAt;
            }
        } else {
            bad(one, now);
        }
        return one.state != before;
    }

    /** A check was not answered in time, or refused. */
    boolean unheard(Member one, int generation, long now) {
        State before = one.state;
        if (one.generation == generation) {
            bad(one, now);
        }
        return one.state != before;
    }

    private void bad(Member one, long now) {
        if (one.state == State.UP && ++one.badChecks >= badAfter) {
            one.enter(State.UNWELL, now);
        }
    }
}
