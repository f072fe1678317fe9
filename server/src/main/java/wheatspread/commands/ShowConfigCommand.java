package wheatspread.commands;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheatspread.config.Configuration;
import wheatspread.config.SettingsSource;

/** Prints what holds. */
@Command(
        name = "show-config",
        mixinStandardHelpOptions = true,
        description = "Prints every setting that holds, with where its value comes from: FILE:LINE, a variable, "
                + "or default.",
        footerHeading = "%nExample:%n",
        footer = "  wheatspread show-config --config config.json deploy/uwsgi.json")
final class ShowConfigCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", arity = "0..1", paramLabel = "OPERATOR_FILE", description = "The operator's file.")
    private Path operatorFile;

    @Option(names = "--config", paramLabel = "FILE", description = "In place of what GW_CONFIG names.")
    private Path config;

    @Option(names = "--json", description = "As a JSON list.")
    private boolean json;

    @Override
    public Integer call() {
        List<SettingsSource> sources = Configuration.load(CheckCommand.environment(config), operatorFile)
                .sources();
        PrintWriter out = spec.commandLine().getOut();
        JSONArray list = new JSONArray();
        for (SettingsSource source : sources) {
            int widest = source.settings().stream()
                    .mapToInt(one -> one.key().length())
                    .max()
                    .orElse(0);
            for (SettingsSource.Setting one : source.settings()) {
                if (json) {
                    list.put(new JSONObject()
                            .put("file", source.file())
                            .put("key", one.key())
                            .put("value", one.value())
                            .put("origin", one.origin()));
                } else {
                    out.printf("%-" + widest + "s  %s  (%s)%n", one.key(), one.value(), one.origin());
                }
            }
        }
        if (json) {
            out.println(list.toString(1));
        }
        out.flush();
        return ExitCodes.OK;
    }
}
