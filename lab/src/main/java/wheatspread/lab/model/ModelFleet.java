package wheatspread.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import wheatspread.lab.faults.LinkModel;
import wheatspread.membership.Departure;
import wheatspread.membership.DetectorSettings;
import wheatspread.membership.Member;
import wheatspread.membership.MemberId;
import wheatspread.membership.Membership;
import wheatspread.membership.Message;
import wheatspread.membership.View;
import wheatspread.membership.ViewId;
import wheatspread.peers.MessageCodec;

/**
 * The members of a fleet on virtual time, each with the program's own decision code: what they send, who is
 * stopped, and the views they hold. Whoever befalls them stands outside.
 */
final class ModelFleet {
    /** One way between two servers, at least and at most; us. */
    private static final long NEAR = 200;

    private static final long FAR = 3_000;
    /** The size of so many messages is measured: one in this many. */
    private static final int MEASURED = 16;

    private static final long CALENDAR = 1_700_000_000_000L;

    private final VirtualTime time;
    private final LinkModel links;
    private final SplittableRandom random;
    private final DetectorSettings settings;
    private final List<String> seeds;
    private final MessageCodec codec = new MessageCodec("model", "127.0.0.1:7400");
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, String> names = new HashMap<>();
    private final Map<ViewId, View> views = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();
    private final List<Missed> missed = new ArrayList<>();
    private long messages;
    private long bytes;

    /** Somebody whom a change of the view took out as missed, first seen at that time. */
    record Missed(String name, long at, boolean alive) {}

    /** One process of a member. */
    private final class Process {
        final Membership membership;
        boolean alive = true;
        /** It is stopped until then. */
        long stoppedUntil;

        long planned = Long.MAX_VALUE;

        Process(Member self) {
            membership = new Membership(self, seeds, settings, random.split(), new Outside(self, this));
        }

        /** Carries a task out, at once or when the process goes on. */
        void run(Runnable task) {
            if (!alive) {
                return;
            }
            if (stoppedUntil > time.now()) {
                time.at(stoppedUntil, () -> run(task));
                return;
            }
            task.run();
            plan();
        }

        void plan() {
            long next = membership.nextTurnMicros();
            if (next < planned) {
                planned = next;
                time.at(next, () -> turn(next));
            }
        }

        private void turn(long at) {
            if (planned == at) {
                planned = Long.MAX_VALUE;
                run(() -> {
                    if (membership.nextTurnMicros() <= time.now()) {
                        membership.turn(time.now());
                    }
                });
            }
        }
    }

    /** What a member does to the others. */
    private final class Outside implements Membership.Actions {
        private final String name;
        private final String address;
        private final Process process;

        Outside(Member self, Process process) {
            name = self.id().name();
            address = self.address();
            this.process = process;
        }

        @Override
        public void send(String to, Message message) {
            if (messages++ % MEASURED == 0) {
                bytes += MEASURED * (long) codec.encode(message).length;
            }
            String receiver = names.get(to);
            if (receiver != null) {
                for (long delay : links.deliveryDelays(name, receiver, time.now())) {
                    time.at(time.now() + delay + random.nextLong(NEAR, FAR), () -> {
                        Process there = processes.get(receiver);
                        there.run(() -> there.membership.receive(address, message, time.now()));
                    });
                }
            }
        }

        @Override
        public void onViewInstalled(View before, View now, List<Departure> gone) {
            View same = views.putIfAbsent(now.id(), now);
            if (same != null && !same.equals(now)) {
                faults.add("two views " + now.id() + ": " + same + " and " + now + " on " + name);
            }
            if (same == null) {
                for (Departure one : gone) {
                    if (one.cause() == Departure.Cause.REPORTED_DOWN) {
                        Process there = processes.get(one.member().name());
                        missed.add(new Missed(one.member().name(), time.now(), there.alive));
                    }
                }
            }
        }

        @Override
        public long unixMillis() {
            return CALENDAR + time.now() / 1_000;
        }
    }

    ModelFleet(
            VirtualTime time, LinkModel links, SplittableRandom random, DetectorSettings settings, List<String> seeds) {
        this.time = time;
        this.links = links;
        this.random = random;
        this.settings = settings;
        this.seeds = seeds.stream().map(ModelFleet::address).toList();
    }

    /** An address that nobody else has. */
    private static String address(String name) {
        int number = Integer.parseInt(name.substring(1));
        return "10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":7400";
    }

    static Member member(String name, String zone, long start) {
        return new Member(new MemberId(name, start), address(name), zone, "model", 0);
    }

    /** Starts a process; {@code first} is the view that it begins with, null for none. */
    void start(Member self, View first) {
        Process process = new Process(self);
        processes.put(self.id().name(), process);
        names.put(self.address(), self.id().name());
        if (first == null) {
            process.membership.start(time.now());
        } else {
            process.membership.startWithView(first, time.now());
        }
        process.plan();
    }

    void kill(String name) {
        processes.get(name).alive = false;
    }

    void stop(String name, long until) {
        processes.get(name).stoppedUntil = until;
    }

    void leave(String name) {
        Process process = processes.get(name);
        process.run(process.membership::leave);
    }

    /** How many members each living one has in a view that stands; one entry where all agree. */
    Map<String, Integer> standing() {
        Map<String, Integer> counts = new TreeMap<>();
        processes.forEach((name, one) -> {
            if (one.alive) {
                View view = one.membership.view();
                boolean stands = one.membership.isQuorumReachable(time.now());
                counts.merge(
                        view == null ? "none" : view.id() + " of " + view.size() + (stands ? "" : " old"),
                        1,
                        Integer::sum);
            }
        });
        return counts;
    }

    /** Whether all that live are in one view of that size that stands. */
    boolean agree(int size) {
        View first = null;
        for (Process one : processes.values()) {
            if (one.alive) {
                View view = one.membership.view();
                if (view == null
                        || view.size() != size
                        || first != null && !first.id().equals(view.id())
                        || !one.membership.isQuorumReachable(time.now())) {
                    return false;
                }
                first = view;
            }
        }
        return first != null;
    }

    /** The bytes of the message that carries a whole view, as a server gets it that joins. */
    int bytesOf(View view) {
        MemberId from = view.members().get(0).id();
        return codec.encode(new Message(from, view.id(), true, 0, new Message.Body.ViewResponse(view), List.of()))
                .length;
    }

    int living() {
        return (int) processes.values().stream().filter(one -> one.alive).count();
    }

    /** The number of different views so far. */
    int views() {
        return views.size();
    }

    List<Missed> missed() {
        return missed;
    }

    List<String> faults() {
        return faults;
    }

    long messages() {
        return messages;
    }

    /** Measured on some of the messages. */
    long bytes() {
        return bytes;
    }
}
