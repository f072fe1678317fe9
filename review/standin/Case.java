import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What the programs of all cases do: arguments, the temporary folder, the verdict as an exit code. */
final class Case {
    interface Play {
        /** Plays the case. Throws {@link BrokenException} if the rule was broken. */
        void play(World world, Path root, Path folder, boolean trouble) throws Exception;
    }

    static final class BrokenException extends Exception {
        private static final long serialVersionUID = 1L;

        BrokenException(String message) {
            super(message);
        }
    }

    private Case() {}

    /** Arguments: the repository's root and the case's folder. The environment's TROUBLE=0 leaves out the trouble. */
    static void run(String[] args, Play play) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int code;
        try (World world = new World(Path.of(args[1], "record.txt"))) {
            world.log("trouble: " + trouble);
            String verdict;
            try {
                play.play(world, root, folder, trouble);
                verdict = "the rule held";
                code = 0;
            } catch (BrokenException e) {
                verdict = "the rule was broken: " + e.getMessage();
                code = 1;
            } catch (Exception e) {
                verdict = "the case could not run: " + e;
                code = 2;
            }
            world.log(verdict);
            System.out.println(verdict);
        } finally {
            delete(folder);
        }
        System.exit(code);
    }

    private static void delete(Path folder) throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    static void sleepUntil(long unixMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, unixMillis - World.now()));
    }

    /** Throws if too few requests were served for a verdict. */
    static void requireServed(World world, double share) throws Exception {
        synchronized (world) {
            long served = world.tries.values().stream()
                    .filter(attempt -> attempt.answers.stream().anyMatch(answer -> answer.startsWith("served")))
                    .count();
            String text = served + " of " + world.tries.size() + " requests were served";
            world.log(text);
            if (served < share * world.tries.size()) {
                throw new ServerProcess.CannotRunException("only " + text);
            }
        }
    }

    static void checkDoubleRuns(World world, long windowMillis) throws Exception {
        List<String> found = world.doubleRuns(windowMillis);
        found.forEach(world::log);
        if (!found.isEmpty()) {
            throw new BrokenException(found.size() + " keyed requests ran twice, the first: " + found.get(0));
        }
    }
}
