package wheatspread.lab.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.lab.world.InvariantChecker;
import wheatspread.lab.world.World;

/**
 * Runs configuration reloads under load. The kernels, the records service and the announce service change their
 * addresses one after the other, then all together, and all together again while that reload is still in progress.
 * In each round every server is subject to a different disturbance, drawn by the seed.
 */
public final class ReloadRun {
    /** The disturbance that a server is subject to while its configured addresses change. */
    public enum Disturbance {
        NONE,
        KERNEL_LATE,
        KERNEL_BOOTS_LATE,
        KERNEL_COLD,
        PAUSED,
        STARVED
    }

    /** The services whose addresses change. */
    enum Service {
        KERNELS,
        RECORDS,
        ANNOUNCE
    }

    /** How long the old address stays open after a move, by the protocol's page. */
    private static final long OLD_ADDRESS_CLOSE_MS = 1_500;

    private static final long RELOAD_TIMEOUT_MS = 8_000;
    private static final long ROUND_PAUSE_MS = 1_000;
    private static final long SECOND_MOVE_DELAY_MS = 300;
    private static final long STARVATION_MS = 3_000;
    private static final double STARVATION_CPU_SHARE = 0.1;

    private final Path jar;
    private final List<String> flags;
    private final double rate;

    /** Creates runs at {@code rate} requests per second for all servers together. */
    public ReloadRun(Path jar, List<String> flags, double rate) {
        this.jar = jar;
        this.flags = flags;
        this.rate = rate;
    }

    /** Figures of one run; {@code violations} is empty if every invariant held. */
    public record Outcome(JSONObject figures, List<String> violations) {}

    /** Runs one server per kind of disturbance; each round assigns the disturbances anew. */
    public Outcome run(long seed) throws Exception {
        Random random = new Random(seed);
        List<String> violations = new ArrayList<>();
        try (Rig rig = new Rig(jar, flags, Disturbance.values().length)) {
            rig.start();
            rig.world().setRequestRate(rate);
            TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MS);
            for (Set<Service> moved : List.of(
                    EnumSet.of(Service.KERNELS),
                    EnumSet.of(Service.RECORDS),
                    EnumSet.of(Service.ANNOUNCE),
                    EnumSet.allOf(Service.class))) {
                runRound(rig, moved, moved.size() > 1, random, violations);
                TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MS);
            }
            int pendingAtEnd = rig.settle();
            InvariantChecker checker = rig.world().checker();
            violations.addAll(checker.violations());
            long cleanExits = 0;
            for (RigServer member : rig.members()) {
                int code = member.terminate();
                cleanExits += code == 0 ? 1 : 0;
                if (code != 0) {
                    violations.add(
                            member.name() + " exited with code " + code + " after SIGTERM, log: " + logTail(member));
                }
            }
            return new Outcome(
                    checker.figures()
                            .put("seed", seed)
                            .put("open_at_end", pendingAtEnd)
                            .put("left_in_order", cleanExits),
                    violations);
        }
    }

    private void runRound(Rig rig, Set<Service> moved, boolean movesTwice, Random random, List<String> violations)
            throws IOException, InterruptedException {
        List<Disturbance> disturbances = new ArrayList<>(List.of(Disturbance.values()));
        Collections.shuffle(disturbances, random);
        Map<RigServer, Integer> linksBefore = new HashMap<>();
        for (RigServer member : rig.members()) {
            linksBefore.put(member, rig.world().countKernelLinks(member.name()));
        }
        int moves = movesTwice ? 2 : 1;
        List<Callable<Void>> tasks = new ArrayList<>();
        for (int i = 0; i < disturbances.size(); i++) {
            RigServer member = rig.members().get(i);
            Disturbance disturbance = disturbances.get(i);
            long millis = 200 + random.nextInt(1_300);
            tasks.add(() -> {
                disturb(rig.world(), member, disturbance, millis);
                return null;
            });
        }
        ExecutorService executor = Executors.newFixedThreadPool(tasks.size());
        try {
            List<Future<Void>> pending = new ArrayList<>();
            for (int move = 0; move < moves; move++) {
                move(rig, moved, move == 0 ? disturbances : List.of());
                if (move == 0) {
                    for (Callable<Void> task : tasks) {
                        pending.add(executor.submit(task));
                    }
                }
                for (RigServer member : rig.members()) {
                    rig.configure(member);
                    member.signal("HUP");
                }
                TimeUnit.MILLISECONDS.sleep(movesTwice ? SECOND_MOVE_DELAY_MS : 0);
            }
            for (Future<Void> disturbance : pending) {
                disturbance.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            executor.shutdownNow();
        }
        for (int i = 0; i < disturbances.size(); i++) {
            RigServer member = rig.members().get(i);
            String kernel =
                    "kernel=/" + rig.world().kernelEndpoint(member.name()).text();
            boolean reloaded = member.log()
                            .await(
                                    line -> line.contains("INFO") && line.contains("reload ") && line.contains(kernel),
                                    RELOAD_TIMEOUT_MS)
                    != null;
            boolean linked = !moved.contains(Service.KERNELS) || awaitNewLink(rig, member, linksBefore.get(member));
            if (!reloaded || !linked) {
                violations.add(member.name() + " with " + disturbances.get(i) + " while " + moved + " moved: "
                        + (reloaded ? "no link to the kernel's new address" : "no reload logged") + "; "
                        + logTail(member));
            }
        }
    }

    private static boolean awaitNewLink(Rig rig, RigServer member, int linksBefore) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELOAD_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNanos) {
            if (rig.world().countKernelLinks(member.name()) > linksBefore) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    /** Moves the given services; the kernel of a {@code KERNEL_LATE} server refuses at its new address at first. */
    private static void move(Rig rig, Set<Service> moved, List<Disturbance> disturbances) {
        if (moved.contains(Service.KERNELS)) {
            for (int i = 0; i < rig.members().size(); i++) {
                String name = rig.members().get(i).name();
                rig.world().kernelEndpoint(name).move(OLD_ADDRESS_CLOSE_MS);
                if (i < disturbances.size() && disturbances.get(i) == Disturbance.KERNEL_LATE) {
                    rig.world().kernelEndpoint(name).refuse();
                }
            }
        }
        if (moved.contains(Service.RECORDS)) {
            rig.world().recordsEndpoint().move(OLD_ADDRESS_CLOSE_MS);
        }
        if (moved.contains(Service.ANNOUNCE)) {
            rig.world().announceEndpoint().move(OLD_ADDRESS_CLOSE_MS);
        }
    }

    private static void disturb(World world, RigServer member, Disturbance disturbance, long millis)
            throws IOException, InterruptedException {
        long from = System.currentTimeMillis();
        switch (disturbance) {
            case KERNEL_LATE -> {
                TimeUnit.MILLISECONDS.sleep(millis);
                world.kernelEndpoint(member.name()).acceptAgain();
            }
            case KERNEL_BOOTS_LATE -> {
                world.delayHandshake(member.name(), millis);
                TimeUnit.MILLISECONDS.sleep(2 * millis);
                world.delayHandshake(member.name(), 0);
            }
            case KERNEL_COLD -> world.restartKernelCold(member.name());
            case PAUSED -> {
                world.recordPause(member.name(), from, from + millis);
                member.pause(millis);
            }
            case STARVED -> {
                world.recordPause(member.name(), from, from + STARVATION_MS);
                member.starve(STARVATION_CPU_SHARE, STARVATION_MS);
            }
            default -> {}
        }
    }

    private static String logTail(RigServer member) {
        List<String> lines = member.log().lines();
        return String.join(" / ", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    }
}
