package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;

/** One case: its folder, its record, its processes, and the settings of a small deployment. */
final class Case implements AutoCloseable {
    /** What a case does; it returns what broke the rule, or null if the rule held. */
    interface Body {
        String run(Case theCase) throws Exception;
    }

    /** A case that is not over by then ends with "could not run". */
    private static final long LONGEST_MS = 110_000;

    final Path root;
    final Path temporary;
    final Record record;
    final Processes processes;
    /** Whether the disruption happens. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private Case(Path root, Path folder) throws IOException {
        this.root = root;
        temporary = Files.createTempDirectory("review-2-");
        record = new Record(folder.resolve("record.txt"));
        processes = new Processes(root, temporary, record);
    }

    /** Runs a case; the arguments are the root of the repository and the folder of the case. */
    static void main(String[] arguments, Body body) {
        int code;
        try (Case theCase = new Case(Path.of(arguments[0]), Path.of(arguments[1]))) {
            Thread ending = new Thread(theCase.processes::close);
            Runtime.getRuntime().addShutdownHook(ending); // also when the case itself is ended by a signal
            Kernel.daemon(() -> theCase.endAfter(LONGEST_MS)).start();
            theCase.record.line("disruption: " + (theCase.trouble ? "yes" : "no (TROUBLE=0)"));
            code = theCase.execute(body);
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            code = 2;
        }
        System.exit(code);
    }

    private void endAfter(long millis) {
        try {
            Thread.sleep(millis);
            System.out.println("could not run: not over after " + millis + " ms");
            System.exit(2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int execute(Body body) {
        String verdict;
        int code;
        try {
            String broken = body.run(this);
            verdict = broken == null ? "the rule held" : "the rule was broken: " + broken;
            code = broken == null ? 0 : 1;
        } catch (Exception e) {
            verdict = "could not run: " + e;
            code = 2;
        }
        record.line(verdict);
        System.out.println(verdict);
        return code;
    }

    Path write(String name, JSONObject content) throws IOException {
        Path next = temporary.resolve(name + ".new");
        Files.writeString(next, content.toString(1) + "\n");
        return Files.move(
                next, temporary.resolve(name), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Returns a configuration with the settings of deploy/fleet-member.json: a class of reads and a keyed class. No
     * class makes calls, so that no records service is needed.
     */
    static JSONObject config(String name, String listen, String kernel, String announce) {
        JSONObject family = new JSONObject()
                .put("Callers", 2)
                .put("CallsOut", 8.0)
                .put("ClassCalls", List.of(false, false))
                .put("ClassSkipWorth", List.of(0.0, 0.0))
                .put("Cold", false)
                .put("DepWindow", 5000.0)
                .put("DependsOn", "silent")
                .put("Fresh", 0.0)
                .put("Gauges", List.of("core_use", "on_cores", "heap_share", "links"))
                .put("Halt", "suspend")
                .put("Heeded", 1000.0)
                .put("Idle", 30000.0)
                .put("KbPerKey", 4.0)
                .put("Linger", 200.0)
                .put("MemoryKb", 60000.0)
                .put("NCores", 6)
                .put("RegistryFollows", true)
                .put("RunFactor", 8.0)
                .put("Say", "window");
        JSONArray lanes = new JSONArray()
                .put(new JSONObject()
                        .put("Name", "recipe-page")
                        .put("Aim", 3600.0)
                        .put("Deadline", 11000.0)
                        .put("Effect", "idempotent")
                        .put("Worth", 1.0))
                .put(new JSONObject()
                        .put("Name", "save-plan")
                        .put("Aim", 4300.0)
                        .put("Deadline", 14000.0)
                        .put("Effect", "deduplicated")
                        .put("Window", 42633.0)
                        .put("Worth", 5.0));
        JSONArray tenants = new JSONArray()
                .put(new JSONObject().put("Name", "main-site").put("QuotaPerS", 60.0))
                .put(new JSONObject().put("Name", "school-feeding").put("QuotaPerS", 20.0));
        JSONObject rules = new JSONObject()
                .put("AnswerSlack", 60.0)
                .put("Cold", 16000.0)
                .put("ColdFrom", 0.2)
                .put("DrainGrace", 2500.0)
                .put("OverloadFor", 2000.0)
                .put("TipMultiple", 6.0);
        JSONObject settings = new JSONObject()
                .put("ReplicasOfMe", 4)
                .put("Resolution", 4.0)
                .put("Ceilings", new JSONObject().put("MaxRetryAfter", 4000.0).put("RetryAfter", true))
                .put("FamilyInfo", family)
                .put("Lanes", lanes)
                .put("Parties", tenants)
                .put("Rules", rules);
        return new JSONObject()
                .put("name", name)
                .put("listen", listen)
                .put("kernel", kernel)
                .put("announce", announce)
                .put("seed", Proxy.hex(16))
                .put("stop_ms", 4000)
                .put("limits", new JSONObject().put("cores", 1.0).put("memory_mb", 192).put("sockets", 512))
                .put("settings", settings);
    }

    @Override
    public void close() throws IOException {
        processes.close();
        record.line("all processes of the case have ended");
        record.close();
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
