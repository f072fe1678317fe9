package wheatspread.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the file by which the platform starts a server. */
public final class DeployFile {
    private DeployFile() {}

    /** Returns the JVM flags of the {@code run} line of a deploy file. */
    public static List<String> flags(Path deploy) throws IOException {
        Matcher runLine = Pattern.compile("run = \"exec java (.*) -jar ").matcher(Files.readString(deploy));
        if (!runLine.find()) {
            throw new IOException(deploy + ": no line of the form run = \"exec java FLAGS -jar ...\"");
        }
        return List.of(runLine.group(1).split(" "));
    }
}
