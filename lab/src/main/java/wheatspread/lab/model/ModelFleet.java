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
 * Simulates the members of a fleet on virtual time, each with the server's own membership code. Tracks the messages
 * sent, the stopped processes and the installed views. {@link ModelRun} injects the faults.
 */
final class ModelFleet {
    /** Bounds of the one-way latency between two servers. */
    private static final long MIN_LATENCY_MICROS = 200;

    private static final long MAX_LATENCY_MICROS = 3_000;
    /** Every sixteenth message is encoded to estimate the bytes sent. */
    private static final int MESSAGES_PER_SIZE_SAMPLE = 16;

    private static final long CALENDAR_START_UNIX_MILLIS = 1_700_000_000_000L;

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
    private final List<RemovedMember> removedMembers = new ArrayList<>();
    private long messages;
    private long bytes;

    /** A member that a view removed because it was reported down; {@code alive} is true if the removal was wrong. */
    record RemovedMember(String name, long removedAtMicros, boolean alive) {}

    /** A simulated process of a member; a restarted member gets a new one. */
    private final class Process {
        final Membership membership;
        boolean alive = true;
        long stoppedUntilMicros;
        long scheduledTurnMicros = Long.MAX_VALUE;

        Process(Member self) {
            membership = new Membership(self, seeds, settings, random.split(), new SimulatedActions(self, this));
        }

        /** Runs a task at once, or after the stop ends if the process is stopped; does nothing after a kill. */
        void run(Runnable task) {
            if (!alive) {
                return;
            }
            if (stoppedUntilMicros > time.nowMicros()) {
                time.schedule(stoppedUntilMicros, () -> run(task));
                return;
            }
            task.run();
            scheduleTurn();
        }

        void scheduleTurn() {
            long nextMicros = membership.nextTurnMicros();
            if (nextMicros < scheduledTurnMicros) {
                scheduledTurnMicros = nextMicros;
                time.schedule(nextMicros, () -> turn(nextMicros));
            }
        }

        private void turn(long turnMicros) {
            if (scheduledTurnMicros == turnMicros) {
                scheduledTurnMicros = Long.MAX_VALUE;
                run(() -> {
                    if (membership.nextTurnMicros() <= time.nowMicros()) {
                        membership.turn(time.nowMicros());
                    }
                });
            }
        }
    }

    /** Delivers the messages of one member over the simulated links and records the views that it installs. */
    private final class SimulatedActions implements Membership.Actions {
        private final String name;
        private final String address;
        private final Process process;

        SimulatedActions(Member self, Process process) {
            name = self.id().name();
            address = self.address();
            this.process = process;
        }

        @Override
        public void send(String to, Message message) {
            if (messages++ % MESSAGES_PER_SIZE_SAMPLE == 0) {
                bytes += MESSAGES_PER_SIZE_SAMPLE * (long) codec.encode(message).length;
            }
            String receiver = names.get(to);
            if (receiver != null) {
                for (long delayMicros : links.deliveryDelays(name, receiver, time.nowMicros())) {
                    time.schedule(
                            time.nowMicros() + delayMicros + random.nextLong(MIN_LATENCY_MICROS, MAX_LATENCY_MICROS),
                            () -> {
                                Process target = processes.get(receiver);
                                target.run(() -> target.membership.receive(address, message, time.nowMicros()));
                            });
                }
            }
        }

        @Override
        public void onViewInstalled(View previousView, View view, List<Departure> departures) {
            View known = views.putIfAbsent(view.id(), view);
            if (known != null && !known.equals(view)) {
                faults.add(
                        "two different views with id " + view.id() + ": " + known + " and, on " + name + ", " + view);
            }
            if (known == null) {
                for (Departure departure : departures) {
                    if (departure.cause() == Departure.Cause.REPORTED_DOWN) {
                        Process departed = processes.get(departure.member().name());
                        removedMembers.add(
                                new RemovedMember(departure.member().name(), time.nowMicros(), departed.alive));
                    }
                }
            }
        }

        @Override
        public long unixMillis() {
            return CALENDAR_START_UNIX_MILLIS + time.nowMicros() / 1_000;
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

    /** Derives a unique address from the number in the member's name. */
    private static String address(String name) {
        int number = Integer.parseInt(name.substring(1));
        return "10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":7400";
    }

    static Member member(String name, String zone, long start) {
        return new Member(new MemberId(name, start), address(name), zone, "model", 0);
    }

    /** Starts a process with {@code initialView} installed, or without a view if that is null. */
    void start(Member self, View initialView) {
        Process process = new Process(self);
        processes.put(self.id().name(), process);
        names.put(self.address(), self.id().name());
        if (initialView == null) {
            process.membership.start(time.nowMicros());
        } else {
            process.membership.startWithView(initialView, time.nowMicros());
        }
        process.scheduleTurn();
    }

    void kill(String name) {
        processes.get(name).alive = false;
    }

    void stop(String name, long untilMicros) {
        processes.get(name).stoppedUntilMicros = untilMicros;
    }

    void leave(String name) {
        Process process = processes.get(name);
        process.run(process.membership::leave);
    }

    /**
     * Counts the live processes by their view. A process without a view counts as "none"; the key of a view without
     * a reachable quorum ends with " old".
     */
    Map<String, Integer> viewCounts() {
        Map<String, Integer> counts = new TreeMap<>();
        processes.forEach((name, process) -> {
            if (process.alive) {
                View view = process.membership.view();
                boolean quorumReachable = process.membership.isQuorumReachable(time.nowMicros());
                counts.merge(
                        view == null ? "none" : view.id() + " of " + view.size() + (quorumReachable ? "" : " old"),
                        1,
                        Integer::sum);
            }
        });
        return counts;
    }

    /** Returns whether all live processes have the same view, of {@code size} members and with a reachable quorum. */
    boolean hasCommonView(int size) {
        View first = null;
        for (Process process : processes.values()) {
            if (process.alive) {
                View view = process.membership.view();
                if (view == null
                        || view.size() != size
                        || first != null && !first.id().equals(view.id())
                        || !process.membership.isQuorumReachable(time.nowMicros())) {
                    return false;
                }
                first = view;
            }
        }
        return first != null;
    }

    /** Returns the size of the message that carries a whole view to a joining server. */
    int viewMessageBytes(View view) {
        MemberId from = view.members().get(0).id();
        return codec.encode(new Message(from, view.id(), true, 0, new Message.Body.ViewResponse(view), List.of()))
                .length;
    }

    int livingProcesses() {
        return (int)
                processes.values().stream().filter(process -> process.alive).count();
    }

    /** Returns the number of distinct view ids installed so far. */
    int viewCount() {
        return views.size();
    }

    List<RemovedMember> removedMembers() {
        return removedMembers;
    }

    List<String> faults() {
        return faults;
    }

    long messages() {
        return messages;
    }

    /** Returns an estimate of the bytes sent, extrapolated from a sample of the messages. */
    long bytes() {
        return bytes;
    }
}
