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
 * Reloads under load: kernels, records and announce move, one kind after the other, together, and together
 * again while that is still going on; meanwhile each server has a trouble of its own, drawn by the seed.
 */
public final class ReloadRun {
    /** What a server meets while its addresses move. */
    public enum Trouble {
        NONE,
        KERNEL_LATE,
        KERNEL_BOOTS_LATE,
        KERNEL_COLD,
        PAUSED,
        STARVED
    }

    /** What moves. */
    enum Part {
        KERNELS,
        RECORDS,
        ANNOUNCE
    }

    /** By the protocol's page. */
    private static final long OLD_CLOSE_MS = 1_500;

    private static final long FOUND_MS = 8_000;
    private static final long BETWEEN_MS = 1_000;
    private static final long SECOND_AFTER_MS = 300;
    private static final long STARVED_MS = 3_000;
    private static final double STARVED_SHARE = 0.1;

    private final Path jar;
    private final List<String> flags;
    private final double rate;

    /** {@code rate}: requests a second for all servers together. */
    public ReloadRun(Path jar, List<String> flags, double rate) {
        this.jar = jar;
        this.flags = flags;
        this.rate = rate;
    }

    /** What came of it; {@code faults} is empty where every promise was kept. */
    public record Outcome(JSONObject figures, List<String> violations) {}

    /** One server for each trouble; every round gives each server another one. */
    public Outcome run(long seed) throws Exception {
        Random random = new Random(seed);
        List<String> faults = new ArrayList<>();
        try (Rig rig = new Rig(jar, flags, Trouble.values().length)) {
            rig.start();
            rig.world().setRequestRate(rate);
            TimeUnit.MILLISECONDS.sleep(BETWEEN_MS);
            for (Set<Part> moving : List.of(
                    EnumSet.of(Part.KERNELS),
                    EnumSet.of(Part.RECORDS),
                    EnumSet.of(Part.ANNOUNCE),
                    EnumSet.allOf(Part.class))) {
                round(rig, moving, moving.size() > 1, random, faults);
                TimeUnit.MILLISECONDS.sleep(BETWEEN_MS);
            }
            int open = rig.settle();
            InvariantChecker checker = rig.world().checker();
            faults.addAll(checker.violations());
            long left = 0;
            for (RigServer member : rig.members()) {
                int code = member.terminate();
                left += code == 0 ? 1 : 0;
                if (code != 0) {
                    faults.add(member.name() + " left with " + code + ": " + tail(member));
                }
            }
            return new Outcome(
                    checker.figures().put("seed", seed).put("open_at_end", open).put("left_in_order", left), faults);
        }
    }

    private void round(Rig rig, Set<Part> moving, boolean twice, Random random, List<String> faults)
            throws IOException, InterruptedException {
        List<Trouble> troubles = new ArrayList<>(List.of(Trouble.values()));
        Collections.shuffle(troubles, random);
        Map<RigServer, Integer> linksBefore = new HashMap<>();
        for (RigServer member : rig.members()) {
            linksBefore.put(member, rig.world().countKernelLinks(member.name()));
        }
        int moves = twice ? 2 : 1;
        List<Callable<Void>> deeds = new ArrayList<>();
        for (int i = 0; i < troubles.size(); i++) {
            RigServer member = rig.members().get(i);
            Trouble trouble = troubles.get(i);
            long millis = 200 + random.nextInt(1_300);
            deeds.add(() -> {
                meet(rig.world(), member, trouble, millis);
                return null;
            });
        }
        ExecutorService hands = Executors.newFixedThreadPool(deeds.size());
        try {
            List<Future<Void>> going = new ArrayList<>();
            for (int move = 0; move < moves; move++) {
                move(rig, moving, move == 0 ? troubles : List.of());
                if (move == 0) {
                    for (Callable<Void> deed : deeds) {
                        going.add(hands.submit(deed));
                    }
                }
                for (RigServer member : rig.members()) {
                    rig.configure(member);
                    member.signal("HUP");
                }
                TimeUnit.MILLISECONDS.sleep(twice ? SECOND_AFTER_MS : 0);
            }
            for (Future<Void> one : going) {
                one.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            hands.shutdownNow();
        }
        for (int i = 0; i < troubles.size(); i++) {
            RigServer member = rig.members().get(i);
            String at = "kernel=/" + rig.world().kernelEndpoint(member.name()).text();
            boolean told = member.log()
                            .await(
                                    line -> line.contains("INFO") && line.contains("reload ") && line.contains(at),
                                    FOUND_MS)
                    != null;
            boolean linked = !moving.contains(Part.KERNELS) || linksAbove(rig, member, linksBefore.get(member));
            if (!told || !linked) {
                faults.add(member.name() + " with " + troubles.get(i) + " while " + moving + " moved: "
                        + (told ? "no link at the new kernel" : "no reload logged") + "; " + tail(member));
            }
        }
    }

    private static boolean linksAbove(Rig rig, RigServer member, int before) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FOUND_MS);
        while (System.nanoTime() < until) {
            if (rig.world().countKernelLinks(member.name()) > before) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    /** Moves what moves; a kernel that is to come late refuses at its new address from the start. */
    private static void move(Rig rig, Set<Part> moving, List<Trouble> troubles) {
        if (moving.contains(Part.KERNELS)) {
            for (int i = 0; i < rig.members().size(); i++) {
                String name = rig.members().get(i).name();
                rig.world().kernelEndpoint(name).move(OLD_CLOSE_MS);
                if (i < troubles.size() && troubles.get(i) == Trouble.KERNEL_LATE) {
                    rig.world().kernelEndpoint(name).refuse();
                }
            }
        }
        if (moving.contains(Part.RECORDS)) {
            rig.world().recordsEndpoint().move(OLD_CLOSE_MS);
        }
        if (moving.contains(Part.ANNOUNCE)) {
            rig.world().announceEndpoint().move(OLD_CLOSE_MS);
        }
    }

    private static void meet(World world, RigServer member, Trouble trouble, long millis)
            throws IOException, InterruptedException {
        long from = System.currentTimeMillis();
        switch (trouble) {
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
                world.recordPause(member.name(), from, from + STARVED_MS);
                member.starve(STARVED_SHARE, STARVED_MS);
            }
            default -> {}
        }
    }

    private static String tail(RigServer member) {
        List<String> lines = member.log().lines();
        return String.join(" / ", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    }
}
