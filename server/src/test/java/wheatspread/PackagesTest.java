package wheatspread;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between the packages, and that the deploy file lists the packages. */
class PackagesTest {
    private static final Path ROOT = Path.of("src/main/java/wheatspread");
    private static final Pattern QUALIFIED_TYPE = Pattern.compile("\\bwheatspread\\.([a-z.]+)\\.[A-Z]");

    /** Returns the packages that each package uses, by package name without the common prefix. */
    private static Map<String, Set<String>> usedPackages() throws IOException {
        Map<String, Set<String>> used = new TreeMap<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String packageName =
                        ROOT.relativize(file.getParent()).toString().replace('/', '.');
                Matcher uses = QUALIFIED_TYPE.matcher(Files.readString(file));
                Set<String> usedByPackage = used.computeIfAbsent(packageName, name -> new TreeSet<>());
                while (uses.find()) {
                    if (!uses.group(1).equals(packageName)) {
                        usedByPackage.add(uses.group(1));
                    }
                }
            }
        }
        return used;
    }

    @Test
    void packageDependenciesHaveNoCycle() throws IOException {
        Map<String, Set<String>> remaining = usedPackages();
        assertThat(remaining).containsKeys("admission", "core", "daemon", "uwsgi");
        List<String> sorted = new ArrayList<>();
        while (!remaining.isEmpty()) {
            List<String> next = remaining.keySet().stream()
                    .filter(name -> sorted.containsAll(remaining.get(name)))
                    .toList();
            assertThat(next)
                    .as("packages with a cyclic dependency: %s", remaining)
                    .isNotEmpty();
            sorted.addAll(next);
            next.forEach(remaining::remove);
        }
    }

    @Test
    void coreUsesNoProtocolOrNetworkClasses() throws IOException {
        assertThat(usedPackages().get("core")).containsExactly("admission", "logging");
        assertThat(usedPackages().get("admission")).isEmpty();
        assertThat(usedPackages().get("admission.sfq")).containsExactly("admission", "heap");
        try (Stream<Path> files = Files.list(ROOT.resolve("core"))) {
            for (Path file : files.toList()) {
                assertThat(Files.readString(file))
                        .as(file.toString())
                        .doesNotContain("io.netty", "org.json", "java.net", "java.nio.channels");
            }
        }
    }

    @Test
    void deployFileListsEveryServerPackage() throws IOException {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        for (String name : usedPackages().keySet()) {
            if (!Set.of("admission", "sim").contains(name.split("\\.")[0])) {
                assertThat(deploy).contains("\"server/src/main/java/wheatspread/" + name.replace('.', '/') + "\"");
            }
        }
    }
}
