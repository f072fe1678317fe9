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

/** Settings with many tenants, and the program as the deploy file starts it. */
public final class AtSize {
    public static final int TENANTS = 100_000;

    private AtSize() {}

    public static String tenant(int i) {
        return "{\"Name\": \"tenant-" + i + "\", \"QuotaPerS\": " + (i % 7 + 0.1) + "}";
    }

    public static Stream<String> tenants(int count) {
        return IntStream.range(0, count).mapToObj(AtSize::tenant);
    }

    /** The tests' configuration with these tenants, one a line, the first on line 17. */
    public static String config(Stream<String> parties) throws IOException {
        return config("[\n" + parties.collect(Collectors.joining(",\n")) + "\n]");
    }

    /** The tests' configuration with this in place of the list of tenants. */
    public static String config(String parties) throws IOException {
        String told = Files.readString(Path.of("src/test/resources/config.json"));
        int from = told.indexOf("[{\"Name\": \"north\"");
        return told.substring(0, from) + parties + told.substring(told.indexOf(']', from) + 1);
    }

    /** A process of the classes under test, with the flags of {@code run} but for the archive and the heap. */
    public static ProcessBuilder process(String heap, Path config, String... words) throws IOException {
        String line = Files.readString(Path.of("../deploy/balancer.toml"))
                .lines()
                .filter(one -> one.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Arrays.stream(line.split(" "))
                .filter(word -> word.matches("-[XD].*") && !word.matches("-X(log|m[sx]|share|X:SharedArchive).*"))
                .forEach(command::add);
        command.addAll(List.of(heap, "-cp", System.getProperty("java.class.path"), "wheatspread.commands.Wheatspread"));
        command.addAll(List.of(words));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", config.toString());
        return builder;
    }
}
