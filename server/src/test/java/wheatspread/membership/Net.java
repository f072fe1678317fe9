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
 * A simulated network with faults on virtual time, and the members on it. Asserts at each change that no two views have
 * the same number.
 */
final class Net {
    final SplittableRandom random;
    final Map<String, Membership> members = new HashMap<>();
    final Map<ViewId, View> views = new HashMap<>();
    final Map<String, List<View>> seen = new HashMap<>();
    final Map<String, Long> suspendedUntil = new HashMap<>();
    final Set<String> crashed = new HashSet<>();
    final PriorityQueue<Event> events = new PriorityQueue<>();
    BiPredicate<String, String> partition = (from, to) -> false;
    double loss;
    long nowMicros = 10_000_000_000L;
    long serial;
    long messages;

    private record Event(long at, long serial, String recipient, Runnable task) implements Comparable<Event> {
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
                new Membership(member, seeds, DetectorSettings.DEFAULT, random.split(), new Membership.Actions() {
                    @Override
                    public void send(String address, Message message) {
                        messages++;
                        if (random.nextDouble() >= loss && !partition.test(name, address)) {
                            at(nowMicros + 200 + random.nextLong(3_000), address, () -> {
                                Membership to = members.get(address);
                                if (to != null) {
                                    to.receive(name, message, nowMicros);
                                    scheduleTurn(address);
                                }
                            });
                        }
                    }

                    @Override
                    public void onViewInstalled(View before, View next, List<Departure> gone) {
                        View known = views.putIfAbsent(next.id(), next);
                        assertThat(known == null || known.equals(next))
                                .as("two views %s", next.id())
                                .isTrue();
                        seen.computeIfAbsent(name, none -> new ArrayList<>()).add(next);
                    }

                    @Override
                    public long unixMillis() {
                        return 1_700_000_000_000L + nowMicros / 1_000;
                    }
                });
        crashed.remove(name);
        members.put(name, one);
        if (first != null) {
            one.startWithView(first, nowMicros);
        } else {
            one.start(nowMicros);
        }
        scheduleTurn(name);
    }

    void at(long time, String who, Runnable task) {
        events.add(new Event(time, serial++, who, task));
    }

    /** Schedules its next turn; one that is scheduled twice does nothing the second time. */
    void scheduleTurn(String name) {
        Membership one = members.get(name);
        at(Math.max(nowMicros, one.nextTurnMicros()), name, () -> {
            if (members.get(name) == one && nowMicros >= one.nextTurnMicros()) {
                one.turn(nowMicros);
                scheduleTurn(name);
            }
        });
    }

    void run(long micros) {
        long until = nowMicros + micros;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            long suspended = suspendedUntil.getOrDefault(event.recipient, 0L);
            if (crashed.contains(event.recipient)) {
                continue;
            }
            if (suspended > event.at) { // a suspended process handles all of it when it resumes
                events.add(new Event(suspended, event.serial, event.recipient, event.task));
                continue;
            }
            nowMicros = event.at;
            event.task.run();
        }
        nowMicros = until;
    }

    void startCluster(int size) {
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

    void crash(String name) {
        crashed.add(name);
    }

    /** The view, of that size, which all members that have not crashed hold. */
    View agreed(int size) {
        Set<View> views = new HashSet<>();
        members.forEach((name, one) -> {
            if (!crashed.contains(name)) {
                views.add(one.view());
                assertThat(one.isMember()).as(name).isTrue();
            }
        });
        assertThat(views).hasSize(1);
        assertThat(views.iterator().next().size()).isEqualTo(size);
        return views.iterator().next();
    }
}
