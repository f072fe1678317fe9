package wheatspread.commands;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import wheatspread.supervisor.CommandSpool;

class CommandsTest {
    private static final Path CONFIG = Path.of("src/test/resources/config.json");

    @TempDir
    private Path dir;

    private String out;
    private String err;

    private int run(String... args) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        CommandLine line = Wheatspread.fullCommandLine();
        line.setOut(new PrintWriter(output)).setErr(new PrintWriter(errors));
        int code = line.execute(args);
        out = output.toString();
        err = errors.toString();
        return code;
    }

    private Path writeFile(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text);
    }

    @Test
    void checkReportsEveryFaultWithFileAndLine() throws IOException {
        Path config = writeFile(
                "config.json",
                Files.readString(CONFIG)
                        .replace("\"127.0.0.1:9\", \"records\"", "\"nowhere\", \"records\"")
                        .replace("\"Halt\": \"suspend\"", "\"Halt\": \"melt\""));
        Path operator = writeFile("operator.json", """
            // a comment
            {
              "transport": "pigeon",
              "uwsgi": {"listen": "127.0.0.1:0", "max_body": "big", "defaults": {"class": "soup"}, },
              "log": {"format": 'xml', "repeats": -1},
            }
            """);
        assertThat(run("check", "--config", config.toString(), operator.toString()))
                .isEqualTo(ExitCodes.CONFIG);
        assertThat(out.lines())
                .contains(
                        config + ":1: kernel is not host:port: nowhere",
                        config + ":9: settings.FamilyInfo.Halt is an unknown word: melt; allowed are [abort, silent, "
                                + "suspend]",
                        operator + ":3: transport is an unknown word: pigeon; allowed are [auto, epoll, nio]",
                        operator + ":4: uwsgi.defaults.class is none of [stew, save]: soup",
                        operator + ":4: uwsgi.max_body is missing or not a number: big; allowed is 0 to 1048576",
                        operator + ":5: log.format is an unknown word: xml; allowed are [json, text]",
                        operator + ":5: log.repeats is -1; allowed is 0 to 1000000",
                        "7 faults");
        assertThat(run("check", "--config", CONFIG.toString())).isZero();
        assertThat(run("show-config", "--config", config.toString())).isEqualTo(ExitCodes.CONFIG);
        assertThat(err)
                .startsWith("wheatspread: configuration: ")
                .contains("(and 1 more")
                .hasLineCount(1);
    }

    @Test
    void checkReportsLineOfInvalidJson() throws IOException {
        for (String text :
                new String[] {"{\n \"report_s\": 1,\n \"report_s\": 2}", "{\n\n  \"log\" 3}", "{\n\n", "{}\n\n[]"}) {
            assertThat(run(
                            "check",
                            "--config",
                            CONFIG.toString(),
                            writeFile("bad.json", text).toString()))
                    .isEqualTo(ExitCodes.CONFIG);
            assertThat(out).startsWith(dir.resolve("bad.json") + ":3: ").endsWith("1 fault\n");
        }
        assertThat(run(
                        "check",
                        "--config",
                        CONFIG.toString(),
                        dir.resolve("none.json").toString()))
                .isEqualTo(ExitCodes.CONFIG);
        assertThat(out).contains("none.json cannot be read: the file does not exist");
    }

    @Test
    void showConfigPrintsSettingsWithOrigins() throws IOException {
        Path operator = writeFile("operator.json", "{\n# a comment\n\"report_s\": 7}");
        assertThat(run("show-config", "--config", CONFIG.toString(), operator.toString()))
                .isZero();
        assertThat(out)
                .containsPattern("report_s +7  \\(.*operator.json:3\\)")
                .containsPattern("connections.accept_burst +\\d+  \\(default\\)")
                .containsPattern("stop_ms +4000  \\(.*config.json:2\\)");
        assertThat(run("show-config", "--json", "--config", CONFIG.toString())).isZero();
        assertThat(new JSONArray(out).getJSONObject(0).keySet()).contains("key", "value", "origin", "file");
    }

    @Test
    void exitCodesDistinguishErrors() throws IOException {
        assertThat(run("fly")).isEqualTo(ExitCodes.USAGE);
        assertThat(err).contains("Try 'wheatspread --help'");
        assertThat(run()).isEqualTo(ExitCodes.USAGE);
        assertThat(run("fleet")).isEqualTo(ExitCodes.USAGE);
        assertThat(run("import-nginx", dir.resolve("none").toString(), "x")).isEqualTo(ExitCodes.NO_INPUT);
        Path conf = writeFile("bad.conf", "location { ");
        assertThat(run("import-nginx", conf.toString(), dir.resolve("x").toString()))
                .isEqualTo(ExitCodes.DATA);
        assertThat(run("--help")).isZero();
        assertThat(out).contains("Examples:", "import-nginx", "fleet").doesNotContain("train");
        assertThat(run("completion")).isZero();
        assertThat(out).contains("complete -F _complete_wheatspread");
    }

    private Path fleetFile() throws IOException {
        Files.copy(CONFIG, dir.resolve("member.json"));
        return writeFile("fleet.json", """
            {"dir": "run", "build": "v1", "builds": {"v1": {"command": ["{java}", "serve"]}},
             "config": "member.json", "members": [{"name": "n1", "listen": "127.0.0.1:7001"}]}
            """);
    }

    @Test
    void checksFleetFileAndFilesOfMembers() throws IOException {
        assertThat(run("check", "--fleet", fleetFile().toString())).isZero();
        Path bad = writeFile("bad.json", """
            {"dir": "run", "build": "v3", "builds": {"v1": {"command": []}, "v2": {"comand": ["x"]}},
             "config": "none.json",
             "roll": {"out_share": 2},
             "members": [{"name": "n1", "listen": "127.0.0.1:7001"}, {"name": "n 1",
                 "listen": "127.0.0.1:7001"}]}
            """);
        assertThat(run("check", "--fleet", bad.toString())).isEqualTo(ExitCodes.CONFIG);
        assertThat(out)
                .contains(
                        "bad.json:1: build is none of [v1, v2]: v3",
                        "bad.json:1: builds.v1.command is empty; expected a program and its arguments",
                        "builds.v2.comand is an unknown key",
                        "bad.json:3: roll.out_share is 2.0; allowed is 0.0 to 1.0",
                        "bad.json:4: members[1].name is not a valid name: n 1",
                        "members[1].listen is already used by member n1: ");
    }

    @Test
    void statusReportsStaleDataAndCommandsAreQueuedWithoutSupervisor() throws Exception {
        Path fleet = fleetFile();
        assertThat(run("fleet", "status", fleet.toString())).isEqualTo(ExitCodes.TRY_LATER);
        Files.createDirectories(dir.resolve("run"));
        JSONObject member = new JSONObject()
                .put("name", "n1")
                .put("state", "UP")
                .put("stale", false)
                .put("wanted", true)
                .put("build", "v1")
                .put("generation", 3)
                .put("pid", 77)
                .put("in_state_ms", 5_000)
                .put("heard_ms", 120)
                .put("served", 9);
        JSONObject status = new JSONObject()
                .put("at", System.currentTimeMillis())
                .put("pid", 5)
                .put("going_down", false)
                .put("members", new JSONArray().put(member));
        Files.writeString(dir.resolve("run/status.json"), status.toString());
        assertThat(run("fleet", "status", "--once", fleet.toString())).isZero();
        assertThat(out).contains("supervisor 5").containsPattern("n1 +UP +v1 +3 +77 +5 +120 +9");
        Files.writeString(dir.resolve("run/status.json"), status.put("at", 1).toString());
        assertThat(run("fleet", "status", fleet.toString())).isEqualTo(ExitCodes.UNAVAILABLE);
        assertThat(out).contains("no supervisor has written the status for ", " s; the table is stale");
        assertThat(new CommandSpool(dir.resolve("run")).submit(new JSONObject().put("do", "down"), 0))
                .isNull();
        assertThat(dir.resolve("run/commands")).isDirectoryContaining("glob:**.json");
    }
}
