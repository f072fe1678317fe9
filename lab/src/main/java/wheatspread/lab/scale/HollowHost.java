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

/** The hollow servers of one process, on a few event loops of the server's own kind. One thread calls the methods. */
public final class HollowHost implements AutoCloseable {
    /** Time from the end of a member to its next start; a real server takes about as long. */
    private static final long RESTART_MICROS = 1_000_000;

    private final List<LoopMembers> loops = new ArrayList<>();
    private int nextLoop;

    /** One event loop with its members. All fields but the loop itself are used only on the loop's thread. */
    private static final class LoopMembers {
        final MultiThreadIoEventLoopGroup group;
        final EventLoop loop;
        final EventLoopClock clock;
        final HollowMember.Context context;
        final Map<String, HollowMember> members = new HashMap<>();
        final Set<String> removed = new HashSet<>();
        LinkFaults faults = LinkFaults.NONE;
        long sent;
        long sentBytes;
        long overRate;

        LoopMembers(Transport transport, String cluster, List<String> seeds, long seed) {
            EventLoopScheduler scheduler =
                    new EventLoopScheduler(transport, IterationBudget.DEFAULT, seed, EventLog.NONE);
            group = new MultiThreadIoEventLoopGroup(1, scheduler);
            loop = group.next();
            clock = new EventLoopClock(scheduler);
            context = new HollowMember.Context(cluster, seeds, transport, loop, clock, seed);
        }

        Future<Void> start(MemberSpec spec) {
            HollowMember member = new HollowMember(spec, context, removed::addAll);
            member.setLinkFaults(faults);
            members.put(spec.name(), member);
            return member.open();
        }

        void crash(String name) {
            HollowMember member = members.get(name);
            if (member != null) {
                member.close();
                remove(member);
            }
        }

        void restart(MemberSpec next, boolean clean) {
            HollowMember member = members.get(next.name());
            if (member == null) {
                return;
            }
            if (clean) {
                member.leave(() -> {
                    remove(member);
                    startAfterDelay(next);
                });
            } else {
                crash(next.name());
                startAfterDelay(next);
            }
        }

        private void startAfterDelay(MemberSpec next) {
            clock.schedule(RESTART_MICROS, () -> start(next));
        }

        /** Removes the member and keeps its counters in the totals of this loop. */
        private void remove(HollowMember member) {
            members.remove(member.spec().name());
            sent += member.counters().sent();
            sentBytes += member.counters().sentBytes();
            overRate += member.counters().overRate();
        }

        void setLinkFaults(LinkFaults newFaults) {
            faults = newFaults;
            members.values().forEach(member -> member.setLinkFaults(newFaults));
        }
    }

    /**
     * {@code seeds} are the addresses from which joining members request a view; {@code seed} seeds the random
     * sources.
     */
    public HollowHost(int loopCount, String cluster, List<String> seeds, long seed) {
        Transport transport = Transport.named("auto");
        for (int i = 0; i < loopCount; i++) {
            loops.add(new LoopMembers(transport, cluster, seeds, seed));
        }
    }

    /** Executes an order and returns a report taken after it. */
    public HollowReport execute(HollowOrder order) {
        if (order instanceof HollowOrder.Start start) {
            start(start.members());
        } else if (order instanceof HollowOrder.Crash crash) {
            runOnEachLoop(loopMembers -> crash.names().forEach(loopMembers::crash));
        } else if (order instanceof HollowOrder.Restart restart) {
            runOnEachLoop(loopMembers -> loopMembers.restart(restart.next(), restart.clean()));
        } else if (order instanceof HollowOrder.Links links) {
            runOnEachLoop(loopMembers -> loopMembers.setLinkFaults(links.faults()));
        }
        return report();
    }

    private void start(List<MemberSpec> members) {
        List<Future<Void>> opening = new ArrayList<>();
        for (MemberSpec spec : members) {
            LoopMembers loopMembers = loops.get(nextLoop++ % loops.size());
            opening.add(loopMembers
                    .loop
                    .submit(() -> loopMembers.start(spec))
                    .syncUninterruptibly()
                    .getNow());
        }
        opening.forEach(Future::syncUninterruptibly);
    }

    private void runOnEachLoop(Consumer<LoopMembers> task) {
        List<Future<?>> done = new ArrayList<>();
        loops.forEach(loopMembers -> done.add(loopMembers.loop.submit(() -> task.accept(loopMembers))));
        done.forEach(Future::syncUninterruptibly);
    }

    private HollowReport report() {
        ReportTotals totals = new ReportTotals();
        runOnEachLoop(loopMembers -> {
            synchronized (totals) {
                totals.add(loopMembers);
            }
        });
        return totals.report();
    }

    /** Totals over the event loops of the process. */
    private static final class ReportTotals {
        private final Map<String, Integer> views = new LinkedHashMap<>();
        private final Set<String> removed = new HashSet<>();
        private int alive;
        private int staleViews;
        private int notInView;
        private int raisedLocalHealth;
        private long sent;
        private long sentBytes;
        private long overRate;

        void add(LoopMembers loopMembers) {
            sent += loopMembers.sent;
            sentBytes += loopMembers.sentBytes;
            overRate += loopMembers.overRate;
            for (HollowMember member : loopMembers.members.values()) {
                alive += member.isLeaving() ? 0 : 1;
                notInView += member.isInView() ? 0 : 1;
                staleViews += member.isInView() && member.isViewStale() ? 1 : 0;
                raisedLocalHealth += member.hasRaisedLocalHealth() ? 1 : 0;
                sent += member.counters().sent();
                sentBytes += member.counters().sentBytes();
                overRate += member.counters().overRate();
                if (member.view() != null) {
                    views.merge(member.view().toString(), 1, Integer::sum);
                }
            }
            removed.addAll(loopMembers.removed);
            loopMembers.removed.clear();
        }

        HollowReport report() {
            return new HollowReport(
                    alive, views, staleViews, notInView, raisedLocalHealth, sent, sentBytes, overRate, removed);
        }
    }

    @Override
    public void close() {
        loops.forEach(loopMembers -> loopMembers.group.shutdownGracefully());
    }
}
