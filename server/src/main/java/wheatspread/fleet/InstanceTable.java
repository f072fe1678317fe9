package wheatspread.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.fleet.FleetInstance.Health;
import wheatspread.fleet.FleetInstance.State;

/**
 * The members of a fleet, their generations, and their states from checks and from the ends of their
 * processes. What was not heard lately is said to be stale, and a stale member does not count as in service.
 * No I/O.
 */
public final class InstanceTable {
    private final Map<String, FleetInstance> members = new LinkedHashMap<>();
    private final long stale;
    private final int badAfter;

    InstanceTable(FleetPlan plan) {
        stale = plan.stale();
        badAfter = plan.badAfter();
        plan.members().forEach(name -> members.put(name, new FleetInstance(name, plan.build())));
    }

    /** A member by its name; null if there is none. */
    public FleetInstance get(String name) {
        return members.get(name);
    }

    /** One that a plan no longer has, but that lives. */
    FleetInstance add(String name, String build) {
        FleetInstance member = new FleetInstance(name, build);
        members.put(name, member);
        return member;
    }

    public Collection<FleetInstance> all() {
        return members.values();
    }

    /** How many are in a state. */
    public int count(State state) {
        return (int) members.values().stream()
                .filter(member -> member.state == state)
                .count();
    }

    /** Whether what is known of it is too old to go by. */
    public boolean isStale(FleetInstance member, long now) {
        boolean checked = member.state == State.UP || member.state == State.UNWELL;
        return checked && now - Math.max(member.heardAt, member.wellAt) > stale;
    }

    /** Whether it takes work, as far as is known. */
    public boolean inService(FleetInstance member, long now) {
        return member.state == State.UP && !isStale(member, now);
    }

    /** Those wanted that are not in service. */
    public List<FleetInstance> out(long now) {
        List<FleetInstance> out = new ArrayList<>();
        for (FleetInstance member : members.values()) {
            if (member.wanted && !inService(member, now)) {
                out.add(member);
            }
        }
        return out;
    }

    /** A check was answered. Checks of an earlier generation say nothing. */
    boolean heard(FleetInstance member, int generation, Health health, long now) {
        if (member.generation != generation || !member.lives()) {
            return false;
        }
        member.heardAt = now;
        member.health = health;
        member.unsureUntil = 0;
        State before = member.state;
        if (health.well()) {
            member.badChecks = 0;
            if (member.state == State.STARTING || member.state == State.UNWELL) {
                member.enter(State.UP, now);
                member.wellAt = member.wellAt == 0 ? now : member.wellAt;
            }
        } else {
            bad(member, now);
        }
        return member.state != before;
    }

    /** A check was not answered in time, or refused. */
    boolean unheard(FleetInstance member, int generation, long now) {
        State before = member.state;
        if (member.generation == generation) {
            bad(member, now);
        }
        return member.state != before;
    }

    private void bad(FleetInstance member, long now) {
        if (member.state == State.UP && ++member.badChecks >= badAfter) {
            member.enter(State.UNWELL, now);
        }
    }
}
