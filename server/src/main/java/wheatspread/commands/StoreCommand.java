package wheatspread.commands;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Base64;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import org.json.JSONObject;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheatspread.disk.Disk;
import wheatspread.disk.FolderDisk;
import wheatspread.logging.EventLog;
import wheatspread.store.OfflineTools;
import wheatspread.store.StoreSettings;
import wheatspread.store.WriteState;

/** Tools for a store that no process has open. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Looks at a store's folder, checks it, or makes it smaller. No process may have it open.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  wheatspread store check /var/lib/wheatspread/keys",
            "  wheatspread store dump /var/lib/wheatspread/keys --prefix plan:",
            "  wheatspread store compact /var/lib/wheatspread/keys"
        },
        subcommands = {
            StoreCommand.Check.class,
            StoreCommand.Stat.class,
            StoreCommand.Dump.class,
            StoreCommand.Compact.class
        })
final class StoreCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** What all of them share. */
    abstract static class OnFolder implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FOLDER", description = "The store's folder.")
        private Path folder;

        abstract int on(Disk disk, PrintWriter out) throws IOException;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            Disk disk;
            try {
                disk = FolderDisk.of(folder);
            } catch (IOException e) {
                throw new ExitCodes.Failure(ExitCodes.NO_INPUT, e.getMessage());
            }
            try {
                return on(disk, out);
            } catch (Disk.FolderLockedException e) {
                throw new ExitCodes.Failure(ExitCodes.TRY_LATER, e.getMessage());
            } catch (IOException e) {
                throw new ExitCodes.Failure(ExitCodes.DATA, folder + ": " + e.getMessage());
            } finally {
                out.flush();
            }
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads every record of every file and tells what is not as it was written.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:Nothing is lost.",
                "65:Something is, or the folder holds what this program cannot read.",
                "66:There is no such folder.",
                "75:A process has it open."
            })
    static final class Check extends OnFolder {
        @Option(names = "--json", description = "For programs.")
        private boolean json;

        @Override
        int on(Disk disk, PrintWriter out) throws IOException {
            OfflineTools.Inspection look = OfflineTools.check(disk, System.currentTimeMillis());
            if (json) {
                out.println(json(look).toString(1));
            } else {
                look.findings().forEach(out::println);
                out.println(look.files().size() + " files, " + look.stats().keys() + " keys, "
                        + (look.damages() == 0 ? "nothing is lost" : look.damages() + " places are damaged"));
            }
            return look.damages() == 0 ? CommandLine.ExitCode.OK : ExitCodes.DATA;
        }
    }

    @Command(name = "stat", mixinStandardHelpOptions = true, description = "Tells what the store holds, file by file.")
    static final class Stat extends OnFolder {
        @Option(names = "--json", description = "For programs.")
        private boolean json;

        @Override
        int on(Disk disk, PrintWriter out) throws IOException {
            OfflineTools.Inspection look = OfflineTools.stat(disk, System.currentTimeMillis());
            if (json) {
                out.println(json(look).toString(1));
            } else {
                print(look, out);
            }
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "dump",
            mixinStandardHelpOptions = true,
            description = {
                "Prints every key that lives as a line of JSON: key, value and expires_ms;",
                "what is no text stands as key64 and value64."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:All were read.", "65:Some could not be."})
    static final class Dump extends OnFolder {
        @Option(names = "--prefix", paramLabel = "TEXT", description = "Only keys that begin so.")
        private String prefix = "";

        @Option(names = "--keys", description = "Without the values.")
        private boolean keysOnly;

        @Override
        int on(Disk disk, PrintWriter out) throws IOException {
            byte[] begin = prefix.getBytes(StandardCharsets.UTF_8);
            long unread = OfflineTools.dump(disk, System.currentTimeMillis(), entry -> {
                if (entry.key().length >= begin.length
                        && java.util.Arrays.equals(begin, 0, begin.length, entry.key(), 0, begin.length)) {
                    JSONObject line = new JSONObject();
                    text(line, "key", entry.key());
                    if (!keysOnly) {
                        text(line, "value", entry.value());
                    }
                    out.println(line.put("expires_ms", entry.expiresMillis()));
                }
            });
            if (unread > 0) {
                throw new ExitCodes.Failure(ExitCodes.DATA, unread + " records could not be read");
            }
            return ExitCodes.OK;
        }

        private static void text(JSONObject line, String name, byte[] bytes) {
            try {
                line.put(
                        name,
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .decode(ByteBuffer.wrap(bytes))
                                .toString());
            } catch (CharacterCodingException e) {
                line.put(name + "64", Base64.getEncoder().encodeToString(bytes));
            }
        }
    }

    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description = "Rewrites the files without what has expired or was overwritten.")
    static final class Compact extends OnFolder {
        @Option(
                names = "--accept-loss",
                description = {
                    "Forgets what damage has put in doubt:",
                    "keys that it took are then absent, and older values of them count again."
                })
        private boolean acceptLoss;

        @Override
        int on(Disk disk, PrintWriter out) throws IOException {
            print(
                    OfflineTools.compact(
                            disk,
                            StoreSettings.DEFAULT,
                            System.currentTimeMillis(),
                            acceptLoss,
                            EventLog.lines(out::println)),
                    out);
            return ExitCodes.OK;
        }
    }

    private static void print(OfflineTools.Inspection look, PrintWriter out) {
        out.printf("%-34s %12s %12s %10s%n", "file", "bytes", "live bytes", "records");
        for (OfflineTools.SegmentInspection file : look.files()) {
            out.printf("%-34s %12d %12d %10d%n", file.name(), file.bytes(), file.liveBytes(), file.records());
        }
        out.println(look.stats().keys() + " keys, " + look.stats().usedBytes() + " bytes, "
                + look.stats().liveBytes() + " of them live");
        if (look.stats().allKeysSuspected() || look.stats().suspectedKeys() > 0) {
            out.println(
                    look.stats().allKeysSuspected()
                            ? "keys are in doubt; which, is not known"
                            : look.stats().suspectedKeys() + " keys are in doubt");
        }
    }

    private static JSONObject json(OfflineTools.Inspection look) {
        JSONArray files = new JSONArray();
        look.files()
                .forEach(file -> files.put(new JSONObject()
                        .put("name", file.name())
                        .put("bytes", file.bytes())
                        .put("live_bytes", file.liveBytes())
                        .put("records", file.records())));
        return new JSONObject()
                .put("files", files)
                .put("keys", look.stats().keys())
                .put("used_bytes", look.stats().usedBytes())
                .put("live_bytes", look.stats().liveBytes())
                .put("doubtful_keys", look.stats().suspectedKeys())
                .put("all_in_doubt", look.stats().allKeysSuspected())
                .put("mode", look.stats().mode() == WriteState.Mode.OPEN ? "open" : "full")
                .put("damages", look.damages())
                .put("cut_bytes", look.cutBytes())
                .put("findings", new JSONArray(look.findings()));
    }
}
