package wheatspread.commands;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import wheatspread.nginx.Importer;

/** Converts an nginx configuration to an operator's file. */
@Command(
        name = "import-nginx",
        mixinStandardHelpOptions = true,
        description = {
            "Converts the upstream and location blocks of an nginx configuration to an operator's file.",
            "Directives that cannot be converted are reported on standard error with file and line."
        },
        footerHeading = "%nExample:%n",
        footer = "  wheatspread import-nginx site.conf uwsgi.json 10.0.0.4:3031")
final class ImportNginxCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NGINX_CONF", description = "The nginx configuration to read.")
    private Path conf;

    @Parameters(index = "1", paramLabel = "OPERATOR_FILE", description = "The operator's file to write.")
    private Path file;

    @Parameters(
            index = "2",
            arity = "0..1",
            paramLabel = "HOST:PORT",
            description = "Address of this server in an upstream block; default: the first server that is not down.")
    private String listen;

    @Override
    public Integer call() {
        if (!Files.isReadable(conf)) {
            throw new ExitCodes.Failure(ExitCodes.NO_INPUT, conf + " is missing or not readable");
        }
        Importer.Result result = Importer.convert(conf, listen);
        result.report().forEach(System.err::println);
        try {
            Files.writeString(file, result.file().toString(2) + "\n");
        } catch (IOException e) {
            throw new ExitCodes.Failure(ExitCodes.CANNOT_CREATE, e.toString());
        }
        return ExitCodes.OK;
    }
}
