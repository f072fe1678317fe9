package wheatspread.commands;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheatspread.admission.choice.Choice;
import wheatspread.config.Configuration;
import wheatspread.config.Fields;
import wheatspread.config.FleetConfig;

/** Reads settings files and names each fault. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Reads every settings file, names each fault with file and line, and starts nothing.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:Nothing is wrong.", "78:Something is."},
        footerHeading = "%nExamples:%n",
        footer = {
            "  wheatspread check --config config.json deploy/uwsgi.json",
            "  wheatspread check --fleet deploy/fleet.json"
        })
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", arity = "0..1", paramLabel = "OPERATOR_FILE", description = "The operator's file.")
    private Path operatorFile;

    @Option(names = "--config", paramLabel = "FILE", description = "In place of what GW_CONFIG names.")
    private Path config;

    @Option(names = "--fleet", paramLabel = "FILE", description = "A fleet's file, with the files it names.")
    private Path fleet;

    @Override
    public Integer call() {
        Map<String, String> environment = environment(config);
        List<String> faults = new ArrayList<>();
        if (fleet != null) {
            gather(faults, () -> FleetConfig.readFile(fleet).checkMembers(faults::add));
        }
        if (operatorFile != null || environment.containsKey("GW_CONFIG") || fleet == null) {
            gather(faults, () -> {
                Configuration all = Configuration.load(environment, operatorFile);
                new Choice(all.server().site().settings(), 1); // the module's own complaints
            });
        }
        faults.forEach(spec.commandLine().getOut()::println);
        spec.commandLine()
                .getOut()
                .println(
                        faults.isEmpty()
                                ? "nothing is wrong"
                                : faults.size() + (faults.size() == 1 ? " fault" : " faults"));
        spec.commandLine().getOut().flush();
        return faults.isEmpty() ? Exit.OK : Exit.CONFIG;
    }

    private static void gather(List<String> faults, Runnable reading) {
        try {
            reading.run();
        } catch (Fields.BadValue e) {
            faults.addAll(e.faults());
        } catch (IllegalArgumentException e) {
            faults.add("settings: " + e.getMessage());
        }
    }

    /** The environment, with another file in place of the one that GW_CONFIG names; null to leave it. */
    static Map<String, String> environment(Path config) {
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("GW_CONFIG", config.toString());
        }
        return environment;
    }
}
