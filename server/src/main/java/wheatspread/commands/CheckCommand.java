package wheatspread.commands;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheatspread.admission.sfq.SfqAdmissionController;
import wheatspread.config.ConfigProblems;
import wheatspread.config.Configuration;
import wheatspread.config.FleetConfig;
import wheatspread.config.JsonFields;

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
        ConfigProblems faults = new ConfigProblems();
        if (fleet != null) {
            gather(faults, () -> FleetConfig.readFile(fleet).checkMembers(faults::add));
        }
        if (operatorFile != null || environment.containsKey("GW_CONFIG") || fleet == null) {
            gather(faults, () -> {
                Configuration all = Configuration.load(environment, operatorFile);
                new SfqAdmissionController(all.server().site().settings(), 1); // the module's own complaints
            });
        }
        PrintWriter out = spec.commandLine().getOut();
        faults.messages().forEach(out::println);
        if (faults.count() > faults.messages().size()) {
            out.println("and " + (faults.count() - faults.messages().size()) + " more, which are not named");
        }
        out.println(
                faults.isEmpty() ? "nothing is wrong" : faults.count() + (faults.count() == 1 ? " fault" : " faults"));
        out.flush();
        return faults.isEmpty() ? ExitCodes.OK : ExitCodes.CONFIG;
    }

    private static void gather(ConfigProblems faults, Runnable reading) {
        try {
            reading.run();
        } catch (JsonFields.InvalidValueException e) {
            faults.addAll(e);
        } catch (IllegalArgumentException e) {
            faults.add("settings: " + e.getMessage());
        } catch (OutOfMemoryError e) {
            faults.addAll(JsonFields.InvalidValueException.outOfMemory("what the settings ask for"));
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
