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

/** Prints the effective settings and their origins. */
@Command(
        name = "show-config",
        mixinStandardHelpOptions = true,
        description = "Prints every effective setting with the origin of its value: FILE:LINE, an environment "
                + "variable, or default.",
        footerHeading = "%nExample:%n",
        footer = "  wheatspread show-config --config config.json deploy/uwsgi.json")
final class ShowConfigCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "OPERATOR_FILE",
            description = "The operator's settings file.")
    private Path operatorFile;

    @Option(names = "--config", paramLabel = "FILE", description = "The platform's settings file; overrides GW_CONFIG.")
    private Path config;

    @Option(names = "--json", description = "Prints the settings as a JSON list.")
    private boolean json;

    @Override
    public Integer call() {
        List<SettingsSource> sources = Configuration.load(CheckCommand.environmentWithConfig(config), operatorFile)
                .sources();
        PrintWriter out = spec.commandLine().getOut();
        JSONArray list = new JSONArray();
        for (SettingsSource source : sources) {
            int keyWidth = source.settings().stream()
                    .mapToInt(setting -> setting.key().length())
                    .max()
                    .orElse(0);
            for (SettingsSource.Setting setting : source.settings()) {
                if (json) {
                    list.put(new JSONObject()
                            .put("file", source.file())
                            .put("key", setting.key())
                            .put("value", setting.value())
                            .put("origin", setting.origin()));
                } else {
                    out.printf("%-" + keyWidth + "s  %s  (%s)%n", setting.key(), setting.value(), setting.origin());
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
