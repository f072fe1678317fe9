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
 * Simulates, on virtual time, a network with faults and the members that it connects. Asserts at each installed view
 * that no two different views have the same number.
 */
final class SimulatedNetwork {
    final SplittableRandom random;
    final Map<String, Membership> members = new HashMap<>();
    final Map<ViewId, View> views = new HashMap<>();
    final Map<String, List<View>> installedViews = new HashMap<>();
    final Map<String, Long> suspendedUntil = new HashMap<>();
    final Set<String> crashed = new HashSet<>();
    final PriorityQueue<Event> events = new PriorityQueue<>();
    BiPredicate<String, String> partition = (from, to) -> false;
    double lossProbability;
    long nowMicros = 10_000_000_000L;
    long nextSequence;
    long sentMessages;

    private record Event(long timeMicros, long sequence, String recipient, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeMicros != other.timeMicros
                    ? Long.compare(timeMicros, other.timeMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    static Member member(String name, long incarnation) {
        return new Member(new MemberId(name, incarnation), name, "", "", 0);
    }

    /** Starts a member with the given view or, if that is null, without a view. */
    void startMember(Member member, List<String> seeds, View first) {
        String name = member.id().name();
        Membership membership =
                new Membership(member, seeds, DetectorSettings.DEFAULT, random.split(), new Membership.Actions() {
                    @Override
                    public void send(String address, Message message) {
                        sentMessages++;
                        if (random.nextDouble() >= lossProbability && !partition.test(name, address)) {
                            schedule(nowMicros + 200 + random.nextLong(3_000), address, () -> {
                                Membership receiver = members.get(address);
                                if (receiver != null) {
                                    receiver.receive(name, message, nowMicros);
                                    scheduleTurn(address);
                                }
                            });
                        }
                    }

                    @Override
                    public void onViewInstalled(View previous, View installed, List<Departure> departures) {
                        View known = views.putIfAbsent(installed.id(), installed);
                        assertThat(known == null || known.equals(installed))
                                .as("two different views %s", installed.id())
                                .isTrue();
                        installedViews
                                .computeIfAbsent(name, none -> new ArrayList<>())
                                .add(installed);
                    }

                    @Override
                    public long unixMillis() {
                        return 1_700_000_000_000L + nowMicros / 1_000;
                    }
                });
        crashed.remove(name);
        members.put(name, membership);
        if (first != null) {
            membership.startWithView(first, nowMicros);
        } else {
            membership.start(nowMicros);
        }
        scheduleTurn(name);
    }

    /** Schedules a task of a member, which is skipped if the member crashed; an empty name stands for no member. */
    void schedule(long timeMicros, String recipient, Runnable task) {
        events.add(new Event(timeMicros, nextSequence++, recipient, task));
    }

    /** Schedules the member's next turn; if it is scheduled twice, the second one has no effect. */
    void scheduleTurn(String name) {
        Membership membership = members.get(name);
        schedule(Math.max(nowMicros, membership.nextTurnMicros()), name, () -> {
            if (members.get(name) == membership && nowMicros >= membership.nextTurnMicros()) {
                membership.turn(nowMicros);
                scheduleTurn(name);
            }
        });
    }

    /** Runs all events of the next period of virtual time. */
    void runFor(long micros) {
        long endMicros = nowMicros + micros;
        while (!events.isEmpty() && events.peek().timeMicros <= endMicros) {
            Event event = events.poll();
            long resumeMicros = suspendedUntil.getOrDefault(event.recipient, 0L);
            if (crashed.contains(event.recipient)) {
                continue;
            }
            if (resumeMicros > event.timeMicros) { // a suspended process handles its events when it resumes
                events.add(new Event(resumeMicros, event.sequence, event.recipient, event.task));
                continue;
            }
            nowMicros = event.timeMicros;
            event.task.run();
        }
        nowMicros = endMicros;
    }

    void startCluster(int size) {
        List<Member> initialMembers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            initialMembers.add(member(memberName(i), 1));
        }
        View first = new View(new ViewId(1, 1), initialMembers);
        initialMembers.forEach(member -> startMember(member, List.of(memberName(0), memberName(1)), first));
    }

    static String memberName(int number) {
        return String.format("m%03d", number);
    }

    void crash(String name) {
        crashed.add(name);
    }

    /** Asserts that all members that have not crashed have the same view of that size, and returns it. */
    View assertAgreedView(int size) {
        Set<View> currentViews = new HashSet<>();
        members.forEach((name, membership) -> {
            if (!crashed.contains(name)) {
                currentViews.add(membership.view());
                assertThat(membership.isMember()).as(name).isTrue();
            }
        });
        assertThat(currentViews).hasSize(1);
        assertThat(currentViews.iterator().next().size()).isEqualTo(size);
        return currentViews.iterator().next();
    }
}
