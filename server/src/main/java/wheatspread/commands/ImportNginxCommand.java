package wheatspread.commands;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import wheatspread.nginx.Importer;

/** Makes an operator's file of an nginx configuration. */
@Command(
        name = "import-nginx",
        mixinStandardHelpOptions = true,
        description = {
            "Reads the upstream and location blocks of an nginx configuration and writes an " + "operator's file.",
            "What it cannot carry over it reports on standard error, with file and line."
        },
        footerHeading = "%nExample:%n",
        footer = "  wheatspread import-nginx site.conf uwsgi.json 10.0.0.4:3031")
final class ImportNginxCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NGINX_CONF", description = "The configuration to read.")
    private Path conf;

    @Parameters(index = "1", paramLabel = "OPERATOR_FILE", description = "The file to write.")
    private Path file;

    @Parameters(
            index = "2",
            arity = "0..1",
            paramLabel = "HOST:PORT",
            description = "The server of an upstream that this is; the first that is up without it.")
    private String listen;

    @Override
    public Integer call() {
        if (!Files.isReadable(conf)) {
            throw new ExitCodes.Failure(ExitCodes.NO_INPUT, conf + " cannot be read");
        }
        Importer.Result result = Importer.read(conf, listen);
        result.report().forEach(System.err::println);
        try {
            Files.writeString(file, result.file().toString(2) + "\n");
        } catch (IOException e) {
            throw new ExitCodes.Failure(ExitCodes.CANNOT_CREATE, e.toString());
        }
        return ExitCodes.OK;
    }
}
