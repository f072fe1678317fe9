package wheatspread.nginx;

import java.util.List;

/** One directive with its place; {@code block} is null where it ends in a semicolon. */
record Directive(String file, int line, String name, List<String> args, List<Directive> block) {
    String place() {
        return file + ":" + line;
    }

    String arg(int index) {
        return index < args.size() ? args.get(index) : "";
    }
}
