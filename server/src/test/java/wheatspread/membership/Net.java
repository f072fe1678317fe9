package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * A network with faults on virtual time, and the members on it. That no two views have one number is asserted
 * at each change.
 */
final class Net {
    final SplittableRandom random;
    final Map<String, Membership> members = new HashMap<>();
    final Map<ViewId, View> views = new HashMap<>();
    final Map<String, List<View>> seen = new HashMap<>();
    final Map<String, Long> stoppedUntil = new HashMap<>();
    final Set<String> dead = new HashSet<>();
    final PriorityQueue<Event> events = new PriorityQueue<>();
    BiPredicate<String, String> cut = (from, to) -> false;
    double loss;
    long now = 10_000_000_000L;
    long serial;
    long messages;

    private record Event(long at, long serial, String at2, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(serial, other.serial);
        }
    }

    Net(long seed) {
        random = new SplittableRandom(seed);
    }

    static Member member(String name, long start) {
        return new Member(new MemberId(name, start), name, "", "", 0);
    }

    void add(Member member, List<String> seeds, View first) {
        String name = member.id().name();
        Membership one =
                new Membership(member, seeds, DetectorSettings.USUAL, random.split(), new Membership.Actions() {
                    @Override
                    public void send(String address, Message message) {
                        messages++;
                        if (random.nextDouble() >= loss && !cut.test(name, address)) {
                            at(now + 200 + random.nextLong(3_000), address, () -> {
                                Membership to = members.get(address);
                                if (to != null) {
                                    to.received(name, message, now);
                                    plan(address);
                                }
                            });
                        }
                    }

                    @Override
                    public void changed(View before, View next, List<Departure> gone) {
                        View same = views.putIfAbsent(next.id(), next);
                        assertThat(same == null || same.equals(next))
                                .as("two views %s", next.id())
                                .isTrue();
                        seen.computeIfAbsent(name, none -> new ArrayList<>()).add(next);
                    }

                    @Override
                    public long unixMillis() {
                        return 1_700_000_000_000L + now / 1_000;
                    }
                });
        dead.remove(name);
        members.put(name, one);
        if (first != null) {
            one.begin(first, now);
        } else {
            one.start(now);
        }
        plan(name);
    }

    void at(long time, String who, Runnable task) {
        events.add(new Event(time, serial++, who, task));
    }

    /** Its next turn; one that is planned twice does nothing the second time. */
    void plan(String name) {
        Membership one = members.get(name);
        at(Math.max(now, one.nextTurn()), name, () -> {
            if (members.get(name) == one && now >= one.nextTurn()) {
                one.turn(now);
                plan(name);
            }
        });
    }

    void run(long micros) {
        long until = now + micros;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            long stopped = stoppedUntil.getOrDefault(event.at2, 0L);
            if (dead.contains(event.at2)) {
                continue;
            }
            if (stopped > event.at) { // a stopped process does all of it when it wakes
                events.add(new Event(stopped, event.serial, event.at2, event.task));
                continue;
            }
            now = event.at;
            event.task.run();
        }
        now = until;
    }

    void fleet(int size) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(member(name(i), 1));
        }
        View first = new View(new ViewId(1, 1), all);
        all.forEach(one -> add(one, List.of(name(0), name(1)), first));
    }

    static String name(int i) {
        return String.format("m%03d", i);
    }

    void kill(String name) {
        dead.add(name);
    }

    /** One view on all that live, of that size. */
    View agreed(int size) {
        Set<View> views = new HashSet<>();
        members.forEach((name, one) -> {
            if (!dead.contains(name)) {
                views.add(one.view());
                assertThat(one.isIn()).as(name).isTrue();
            }
        });
        assertThat(views).hasSize(1);
        assertThat(views.iterator().next().size()).isEqualTo(size);
        return views.iterator().next();
    }
}
