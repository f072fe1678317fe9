package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/** A fleet's file as deploy/fleet.json has it, and what its supervisor tells. */
final class Fleets {
    private Fleets() {}

    /** Returns a fleet without members whose folder is {@code fleet} beside the file. */
    static JSONObject file(Case c, Path operatorFile) {
        JSONArray command = new JSONArray(List.of(
                "{java}",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-Xmx48m",
                "-jar",
                c.root.resolve("server/target/wheatspread.jar").toString(),
                "serve"));
        if (operatorFile != null) {
            command.put(operatorFile.toString());
        }
        return new JSONObject()
                .put("dir", "fleet")
                .put("build", "v1")
                .put("builds", new JSONObject().put("v1", new JSONObject().put("command", command)))
                .put("config", "{name}.json")
                .put("members", new JSONArray());
    }

    static JSONObject member(String name, int port) {
        return new JSONObject().put("name", name).put("listen", "127.0.0.1:" + port);
    }

    static Process up(Case c, Path fleetFile) throws IOException {
        return c.processes.start(
                "supervisor",
                "exec java -jar server/target/wheatspread.jar fleet up " + fleetFile,
                java.util.Map.of());
    }

    /** Returns the process id in the lock file of a member; 0 if there is none yet. */
    static long pid(Case c, String name) throws IOException {
        Path lock = c.temporary.resolve("fleet/" + name + ".lock");
        try {
            long pid = Files.exists(lock) ? new JSONObject(Files.readString(lock)).getLong("pid") : 0;
            if (pid > 0) {
                c.processes.watch(pid);
            }
            return pid;
        } catch (JSONException e) {
            return 0; // being written
        }
    }

    static boolean alive(long pid) {
        return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
    }

    /** Returns what the supervisor's last status tells of a member; null if nothing. */
    static JSONObject status(Case c, String name) throws IOException {
        Path file = c.temporary.resolve("fleet/status.json");
        if (Files.exists(file)) {
            for (Object member : new JSONObject(Files.readString(file)).getJSONArray("members")) {
                if (((JSONObject) member).getString("name").equals(name)) {
                    return (JSONObject) member;
                }
            }
        }
        return null;
    }
}
