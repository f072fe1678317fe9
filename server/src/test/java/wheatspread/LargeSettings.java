package wheatspread;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Creates settings with many tenants, and processes with the JVM flags of the deploy file. */
public final class LargeSettings {
    public static final int TENANTS = 100_000;

    private LargeSettings() {}

    public static String tenant(int index) {
        return "{\"Name\": \"tenant-" + index + "\", \"QuotaPerS\": " + (index % 7 + 0.1) + "}";
    }

    public static Stream<String> tenants(int count) {
        return IntStream.range(0, count).mapToObj(LargeSettings::tenant);
    }

    /** Returns the tests' configuration with these tenants, one per line, the first on line 17. */
    public static String config(Stream<String> tenantObjects) throws IOException {
        return config("[\n" + tenantObjects.collect(Collectors.joining(",\n")) + "\n]");
    }

    /** Returns the tests' configuration with another value in place of the list of tenants. */
    public static String config(String tenantList) throws IOException {
        String config = Files.readString(Path.of("src/test/resources/config.json"));
        int listStart = config.indexOf("[{\"Name\": \"north\"");
        return config.substring(0, listStart) + tenantList + config.substring(config.indexOf(']', listStart) + 1);
    }

    /**
     * Returns a process of the classes under test with the JVM flags of the key {@code run} in the deploy file, except
     * for those of the log, the heap and the class-data archive.
     */
    public static ProcessBuilder process(String heap, Path config, String... args) throws IOException {
        String runEntry = Files.readString(Path.of("../deploy/balancer.toml"))
                .lines()
                .filter(entry -> entry.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Arrays.stream(runEntry.split(" "))
                .filter(flag -> flag.matches("-[XD].*") && !flag.matches("-X(log|m[sx]|share|X:SharedArchive).*"))
                .forEach(command::add);
        command.addAll(List.of(heap, "-cp", System.getProperty("java.class.path"), "wheatspread.commands.Wheatspread"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", config.toString());
        return builder;
    }
}
