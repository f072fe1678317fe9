package wheatspread.nginx;

import java.util.List;

/** A directive of a configuration; {@code block} is null if the directive ends with a semicolon. */
record Directive(String file, int line, String name, List<String> args, List<Directive> block) {
    String location() {
        return file + ":" + line;
    }

    /** Returns an argument; empty if there are fewer. */
    String arg(int index) {
        return index < args.size() ? args.get(index) : "";
    }
}
