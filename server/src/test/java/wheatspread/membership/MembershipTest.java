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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whole fleets on virtual time: what falls, is cut off, stopped or restarted, and the views that follow. */
class MembershipTest {
    private static final long SECOND = 1_000_000;

    /** A network with faults, and the members on it. */
    private static final class Net {
        final SplittableRandom random;
        final Map<String, Membership> members = new HashMap<>();
        final Map<ViewId, View> views = new HashMap<>();
        final Map<String, List<View>> seen = new HashMap<>();
        final Map<String, Long> stoppedUntil = new HashMap<>();
        final Set<String> dead = new HashSet<>();
        final PriorityQueue<Event> events = new PriorityQueue<>();
        BiPredicate<String, String> cut = (from, to) -> false;
        double loss;
        long now;
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
            Membership one = new Membership(member, seeds, DetectorSettings.USUAL, random.split(),
                new Membership.Actions() {
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
                    public void changed(View before, View next, Change change) {
                        View same = views.putIfAbsent(next.id(), next);
                        assertThat(same == null || same.equals(next)).as("two views %s", next.id()).isTrue();
                        seen.computeIfAbsent(name, none -> new ArrayList<>()).add(next);
                    }
                });
            dead.remove(name);
            members.put(name, one);
            if (first != null) {
                one.begin(first, now);
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

    private static Net fleet(long seed, int size) {
        Net net = new Net(seed);
        net.fleet(size);
        net.run(5 * SECOND);
        assertThat(net.agreed(size).id().number()).isEqualTo(1);
        return net;
    }

    @Test
    @Timeout(60)
    void aCrashLeavesEveryViewWithinFiveSeconds() {
        for (int size : new int[] {3, 4, 5, 12, 40}) {
            for (int seed = 0; seed < 5; seed++) {
                Net net = fleet(seed, size);
                net.kill(Net.name(seed % size));
                net.run(5 * SECOND);
                assertThat(net.agreed(size - 1).id().number()).as("size %d seed %d", size, seed).isEqualTo(2);
            }
        }
    }

    @Test
    @Timeout(60)
    void aThirdThatFallsIsOneViewOrTwo() {
        for (int seed = 0; seed < 10; seed++) {
            Net net = fleet(seed, 12);
            for (int i = 0; i < 4; i++) {
                net.kill(Net.name((seed + i) % 12));
            }
            net.run(8 * SECOND);
            assertThat(net.agreed(8).id().number()).as("seed %d", seed).isBetween(2L, 3L);
        }
    }

    @Test
    @Timeout(60)
    void lossesAndPausesRemoveNobody() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = fleet(seed, 12);
            net.loss = 0.3;
            net.run(30 * SECOND);
            assertThat(net.views).as("seed %d, 30%% loss", seed).hasSize(1);
            net.loss = 0;
            net.stoppedUntil.put(Net.name(3), net.now + 1_500_000);
            net.run(10 * SECOND);
            assertThat(net.views).as("seed %d, stopped for 1.5 s", seed).hasSize(1);
            for (int i = 0; i < 3; i++) { // a quarter that wakes together accuses nobody
                net.stoppedUntil.put(Net.name(i), net.now + 1_500_000);
            }
            net.run(10 * SECOND);
            assertThat(net.views).as("seed %d, a quarter stopped", seed).hasSize(1);
        }
    }

    @Test
    @Timeout(60)
    void oneSidedCutsOfAPairRemoveNobodyAndWhoIsHeardByNoneGoesAndComesBack() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = fleet(seed, 12);
            net.cut = (from, to) -> from.equals("m001") && to.equals("m002");
            net.run(20 * SECOND);
            assertThat(net.views).as("seed %d: m002 does not hear m001", seed).hasSize(1);
            net.cut = (from, to) -> from.equals("m001");
            net.run(20 * SECOND);
            assertThat(net.members.get("m000").view().size()).isEqualTo(11);
            assertThat(net.views.keySet()).as("no flapping").hasSize(2);
            net.cut = (from, to) -> false;
            net.run(8 * SECOND);
            assertThat(net.agreed(12).id().number()).isEqualTo(3);
        }
    }

    @Test
    @Timeout(60)
    void theSideWithoutAQuorumStandsStillAndFollowsOnceHealed() {
        for (int seed = 0; seed < 5; seed++) {
            Net net = fleet(seed, 12);
            net.cut = (from, to) -> from.compareTo("m005") < 0 != to.compareTo("m005") < 0;
            net.run(20 * SECOND);
            assertThat(net.members.get("m000").view().id().number()).as("seed %d: five of twelve", seed)
                .isEqualTo(1);
            assertThat(net.members.get("m011").view().size()).isEqualTo(7);
            net.cut = (from, to) -> false;
            net.run(12 * SECOND);
            net.agreed(12);
        }
    }

    @Test
    @Timeout(60)
    void aRestartUnderItsNameALeaverAndNewcomersAreOneViewEach() {
        Net net = fleet(1, 12);
        net.kill("m004");
        net.add(Net.member("m004", 2), List.of("m000", "m001"), null);
        net.run(8 * SECOND);
        assertThat(net.agreed(12).named("m004").id().start()).isEqualTo(2);
        assertThat(net.views.size()).isEqualTo(2);
        net.members.get("m007").leave();
        net.plan("m007");
        net.run(3 * SECOND);
        assertThat(net.members.get("m000").view().size()).isEqualTo(11);
        net.kill("m007");
        for (int i = 20; i < 26; i++) {
            net.add(Net.member(Net.name(i), 1), List.of("m000", "m001"), null);
        }
        net.run(8 * SECOND);
        net.agreed(17);
        assertThat(net.views.size()).isLessThanOrEqualTo(5);
    }
}
