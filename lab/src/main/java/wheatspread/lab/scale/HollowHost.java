package wheatspread.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wheatspread.daemon.EventLoopClock;
import wheatspread.logging.EventLog;
import wheatspread.scheduling.IterationBudget;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/** The hollow servers of one process, on a few of the program's own event loops. One thread calls it. */
public final class HollowHost implements AutoCloseable {
    /** A real server takes about this long from its end to its next start; microseconds. */
    private static final long RESTART_MICROS = 1_000_000;

    private final List<Lane> lanes = new ArrayList<>();
    private int next;

    /** One event loop with its members; all but the loop itself is used on the loop's thread alone. */
    private static final class Lane {
        final MultiThreadIoEventLoopGroup group;
        final EventLoop loop;
        final EventLoopClock clock;
        final HollowMember.Surroundings around;
        final Map<String, HollowMember> members = new HashMap<>();
        final Set<String> removed = new HashSet<>();
        LinkFaults faults = LinkFaults.NONE;
        long sent;
        long sentBytes;
        long overRate;

        Lane(Transport transport, String cluster, List<String> seeds, long seed) {
            EventLoopScheduler turns = new EventLoopScheduler(transport, IterationBudget.DEFAULT, seed, EventLog.NONE);
            group = new MultiThreadIoEventLoopGroup(1, turns);
            loop = group.next();
            clock = new EventLoopClock(turns);
            around = new HollowMember.Surroundings(cluster, seeds, transport, loop, clock, seed);
        }

        Future<Void> start(MemberSpec spec) {
            HollowMember member = new HollowMember(spec, around, removed::addAll);
            member.links(faults);
            members.put(spec.name(), member);
            return member.open();
        }

        void crash(String name) {
            HollowMember member = members.get(name);
            if (member != null) {
                member.close();
                ended(member);
            }
        }

        void restart(MemberSpec later, boolean clean) {
            HollowMember member = members.get(later.name());
            if (member == null) {
                return;
            }
            if (clean) {
                member.leave(() -> {
                    ended(member);
                    startLater(later);
                });
            } else {
                crash(later.name());
                startLater(later);
            }
        }

        private void startLater(MemberSpec later) {
            clock.schedule(RESTART_MICROS, () -> start(later));
        }

        /** What it has sent stays in the sums. */
        private void ended(HollowMember member) {
            members.remove(member.spec().name());
            sent += member.counts().sent();
            sentBytes += member.counts().sentBytes();
            overRate += member.counts().overRate();
        }

        void links(LinkFaults now) {
            faults = now;
            members.values().forEach(one -> one.links(now));
        }
    }

    /** {@code seeds} are the addresses at which members ask for a view; {@code seed} is for the random sources. */
    public HollowHost(int loops, String cluster, List<String> seeds, long seed) {
        Transport transport = Transport.named("auto");
        for (int i = 0; i < loops; i++) {
            lanes.add(new Lane(transport, cluster, seeds, seed));
        }
    }

    /** Carries an order out and reports. */
    public HollowReport carryOut(HollowOrder order) {
        if (order instanceof HollowOrder.Start start) {
            start(start.members());
        } else if (order instanceof HollowOrder.Crash crash) {
            onEach(lane -> crash.names().forEach(lane::crash));
        } else if (order instanceof HollowOrder.Restart restart) {
            onEach(lane -> lane.restart(restart.next(), restart.clean()));
        } else if (order instanceof HollowOrder.Links links) {
            onEach(lane -> lane.links(links.faults()));
        }
        return report();
    }

    private void start(List<MemberSpec> members) {
        List<Future<Void>> opening = new ArrayList<>();
        for (MemberSpec spec : members) {
            Lane lane = lanes.get(next++ % lanes.size());
            opening.add(lane.loop
                    .submit(() -> lane.start(spec))
                    .syncUninterruptibly()
                    .getNow());
        }
        opening.forEach(Future::syncUninterruptibly);
    }

    private void onEach(Consumer<Lane> task) {
        List<Future<?>> done = new ArrayList<>();
        lanes.forEach(lane -> done.add(lane.loop.submit(() -> task.accept(lane))));
        done.forEach(Future::syncUninterruptibly);
    }

    private HollowReport report() {
        Tally tally = new Tally();
        onEach(lane -> {
            synchronized (tally) {
                tally.add(lane);
            }
        });
        return tally.report();
    }

    /** Sums over the lanes. */
    private static final class Tally {
        private final Map<String, Integer> views = new LinkedHashMap<>();
        private final Set<String> removed = new HashSet<>();
        private int alive;
        private int old;
        private int outside;
        private int distrusting;
        private long sent;
        private long sentBytes;
        private long overRate;

        void add(Lane lane) {
            sent += lane.sent;
            sentBytes += lane.sentBytes;
            overRate += lane.overRate;
            for (HollowMember one : lane.members.values()) {
                alive += one.isLeaving() ? 0 : 1;
                outside += one.isIn() ? 0 : 1;
                old += one.isIn() && one.isOld() ? 1 : 0;
                distrusting += one.distrusts() ? 1 : 0;
                sent += one.counts().sent();
                sentBytes += one.counts().sentBytes();
                overRate += one.counts().overRate();
                if (one.view() != null) {
                    views.merge(one.view().toString(), 1, Integer::sum);
                }
            }
            removed.addAll(lane.removed);
            lane.removed.clear();
        }

        HollowReport report() {
            return new HollowReport(alive, views, old, outside, distrusting, sent, sentBytes, overRate, removed);
        }
    }

    @Override
    public void close() {
        lanes.forEach(lane -> lane.group.shutdownGracefully());
    }
}
