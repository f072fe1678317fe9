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

/** Checks settings files and reports every fault. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks the settings files and reports each fault with its file and line. Starts no server.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:The settings are valid.", "78:A settings file has a fault."},
        footerHeading = "%nExamples:%n",
        footer = {
            "  wheatspread check --config config.json deploy/uwsgi.json",
            "  wheatspread check --fleet deploy/fleet.json"
        })
final class CheckCommand implements Callable<Integer> {
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

    @Option(
            names = "--fleet",
            paramLabel = "FILE",
            description = "A fleet file, with the settings files of its members.")
    private Path fleet;

    @Override
    public Integer call() {
        Map<String, String> environment = environmentWithConfig(config);
        ConfigProblems faults = new ConfigProblems();
        if (fleet != null) {
            collectFaults(faults, () -> FleetConfig.readFile(fleet).checkMembers(faults::add));
        }
        if (operatorFile != null || environment.containsKey("GW_CONFIG") || fleet == null) {
            collectFaults(faults, () -> {
                Configuration configuration = Configuration.load(environment, operatorFile);
                // checks the settings that only the admission controller can check
                new SfqAdmissionController(configuration.server().site().settings(), 1);
            });
        }
        PrintWriter out = spec.commandLine().getOut();
        faults.messages().forEach(out::println);
        if (faults.count() > faults.messages().size()) {
            out.println((faults.count() - faults.messages().size()) + " more faults are not shown");
        }
        out.println(
                faults.isEmpty() ? "no faults found" : faults.count() + (faults.count() == 1 ? " fault" : " faults"));
        out.flush();
        return faults.isEmpty() ? ExitCodes.OK : ExitCodes.CONFIG;
    }

    private static void collectFaults(ConfigProblems faults, Runnable check) {
        try {
            check.run();
        } catch (JsonFields.InvalidValueException e) {
            faults.addAll(e);
        } catch (IllegalArgumentException e) {
            faults.add("settings: " + e.getMessage());
        } catch (OutOfMemoryError e) {
            faults.addAll(JsonFields.InvalidValueException.outOfMemory("the configuration"));
        }
    }

    /** Returns the environment, with GW_CONFIG replaced by {@code config} unless that is null. */
    static Map<String, String> environmentWithConfig(Path config) {
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("GW_CONFIG", config.toString());
        }
        return environment;
    }
}
