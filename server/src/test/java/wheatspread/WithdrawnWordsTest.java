package wheatspread;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that identifiers and file names contain no word that {@code docs/GLOSSARY.md} lists as withdrawn. */
class WithdrawnWordsTest {
    private static final Path GLOSSARY = Path.of("../docs/GLOSSARY.md");
    private static final List<Path> ROOTS = Stream.of(
                    "src/main/java/wheatspread",
                    "src/test/java/wheatspread",
                    "../lab/src/main/java/wheatspread",
                    "../lab/src/test/java/wheatspread")
            .map(Path::of)
            .toList();
    private static final Pattern TABLE_ROW = Pattern.compile("(?m)^\\| `?([a-z.]+)`? \\|");
    private static final Pattern NOT_CODE = Pattern.compile(
            "(?s)/\\*.*?\\*/|//[^\\n]*|\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\\n])*\"|'(?:\\\\.|[^'\\\\])+'");
    /** Words withdrawn only at the beginning of a name: in {@code MOST_BYTES}, but not in {@code AT_MOST_ONCE}. */
    private static final Set<String> PREFIXES = Set.of("most", "least");

    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z_$][A-Za-z0-9_$]*");
    private static final Pattern WORD = Pattern.compile("[A-Z]?[a-z]+|[A-Z]+(?![a-z])");

    @Test
    void sourcesAndTestsContainNoWithdrawnWord() throws IOException {
        Set<String> withdrawn = firstColumn("## Withdrawn words");
        assertThat(withdrawn).contains("told", "door", "knock");
        Set<String> excluded = firstColumn("## Files that map names");
        List<String> violations = new ArrayList<>();
        for (Path root : ROOTS) {
            violations.addAll(violations(root, withdrawn, excluded));
        }
        assertThat(violations).isEmpty();
    }

    @Test
    void findsWordsInIdentifiersButNotInLiteralsOrComments() {
        assertThat(words("int mostTold; boolean atLeast; /* door */ String s = \"knock\"; // crowd\nMOST_TRIES"))
                .contains("most", "told", "tries")
                .doesNotContain("least")
                .doesNotContain("door", "knock", "crowd");
    }

    private static List<String> violations(Path root, Set<String> withdrawn, Set<String> excluded) throws IOException {
        List<String> violations = new ArrayList<>();
        List<Path> files = sources(root);
        assertThat(files).as("sources below %s", root).isNotEmpty();
        for (Path file : files) {
            String fileName = root.relativize(file).toString().replace('/', '.').replace(".java", "");
            if (excluded.contains(fileName.toLowerCase(Locale.ROOT))) {
                continue;
            }
            Set<String> found = words(file.getFileName().toString() + " " + Files.readString(file));
            found.retainAll(withdrawn);
            if (!found.isEmpty()) {
                violations.add(file + " " + found);
            }
        }
        return violations;
    }

    private static List<Path> sources(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .sorted()
                    .toList();
        }
    }

    /** Returns the words of all identifiers in a source text, in lower case. */
    private static Set<String> words(String source) {
        String code = NOT_CODE.matcher(source).replaceAll(" ");
        Set<String> words = new TreeSet<>();
        Matcher identifiers = IDENTIFIER.matcher(code);
        while (identifiers.find()) {
            Matcher parts = WORD.matcher(identifiers.group());
            while (parts.find()) {
                String word = parts.group().toLowerCase(Locale.ROOT);
                if (parts.start() == 0 || !PREFIXES.contains(word)) {
                    words.add(word);
                }
            }
        }
        return words;
    }

    /** Returns the first column of the table below a heading of the glossary, without its title. */
    private static Set<String> firstColumn(String heading) throws IOException {
        String page = Files.readString(GLOSSARY);
        int from = page.indexOf(heading);
        assertThat(from).as("heading %s of the glossary", heading).isNotNegative();
        int to = page.indexOf("\n## ", from + 1);
        String section = page.substring(from, to < 0 ? page.length() : to);
        return TABLE_ROW
                .matcher(section)
                .results()
                .map(row -> row.group(1))
                .filter(word -> !Set.of("word", "file").contains(word))
                .collect(Collectors.toSet());
    }
}
