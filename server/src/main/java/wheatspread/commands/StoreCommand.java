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

/** Offline tools for a store that no process has open. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Inspects, checks or compacts a store's folder, which no process may have open.",
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
        throw new ParameterException(spec.commandLine(), "a command is required");
    }

    /** A command on the folder of a store; subclasses implement {@link #run}. */
    abstract static class FolderCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FOLDER", description = "The store's folder.")
        private Path folder;

        abstract int run(Disk disk, PrintWriter out) throws IOException;

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
                return run(disk, out);
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
            description = "Reads every record of every file and reports damage.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:No damage was found.",
                "65:A file is damaged or cannot be read.",
                "66:The folder does not exist.",
                "75:A process has the store open."
            })
    static final class Check extends FolderCommand {
        @Option(names = "--json", description = "Prints the result as JSON.")
        private boolean json;

        @Override
        int run(Disk disk, PrintWriter out) throws IOException {
            OfflineTools.Inspection inspection = OfflineTools.check(disk, System.currentTimeMillis());
            if (json) {
                out.println(json(inspection).toString(1));
            } else {
                inspection.findings().forEach(out::println);
                out.println(inspection.files().size() + " files, "
                        + inspection.stats().keys() + " keys, "
                        + (inspection.damageCount() == 0
                                ? "no damage found"
                                : inspection.damageCount() + " places are damaged"));
            }
            return inspection.damageCount() == 0 ? CommandLine.ExitCode.OK : ExitCodes.DATA;
        }
    }

    @Command(
            name = "stat",
            mixinStandardHelpOptions = true,
            description = "Prints the size and the number of records of each file.")
    static final class Stat extends FolderCommand {
        @Option(names = "--json", description = "Prints the result as JSON.")
        private boolean json;

        @Override
        int run(Disk disk, PrintWriter out) throws IOException {
            OfflineTools.Inspection inspection = OfflineTools.stat(disk, System.currentTimeMillis());
            if (json) {
                out.println(json(inspection).toString(1));
            } else {
                print(inspection, out);
            }
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "dump",
            mixinStandardHelpOptions = true,
            description = {
                "Prints every live key as a line of JSON with key, value and expires_ms.",
                "Keys and values that are not UTF-8 are printed in Base64 as key64 and value64."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:All records were read.", "65:Some records could not be read."})
    static final class Dump extends FolderCommand {
        @Option(names = "--prefix", paramLabel = "TEXT", description = "Prints only keys with this prefix.")
        private String prefix = "";

        @Option(names = "--keys", description = "Omits the values.")
        private boolean keysOnly;

        @Override
        int run(Disk disk, PrintWriter out) throws IOException {
            byte[] prefixBytes = prefix.getBytes(StandardCharsets.UTF_8);
            long unreadable = OfflineTools.dump(disk, System.currentTimeMillis(), entry -> {
                if (entry.key().length >= prefixBytes.length
                        && java.util.Arrays.equals(
                                prefixBytes, 0, prefixBytes.length, entry.key(), 0, prefixBytes.length)) {
                    JSONObject line = new JSONObject();
                    putBytes(line, "key", entry.key());
                    if (!keysOnly) {
                        putBytes(line, "value", entry.value());
                    }
                    out.println(line.put("expires_ms", entry.expiresMillis()));
                }
            });
            if (unreadable > 0) {
                throw new ExitCodes.Failure(ExitCodes.DATA, unreadable + " records could not be read");
            }
            return ExitCodes.OK;
        }

        private static void putBytes(JSONObject line, String name, byte[] bytes) {
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
            description = "Rewrites the files without expired and overwritten records.")
    static final class Compact extends FolderCommand {
        @Option(
                names = "--accept-loss",
                description = {
                    "Accepts the loss of damaged records:",
                    "lost keys become absent, and older values of lost writes become valid again."
                })
        private boolean acceptLoss;

        @Override
        int run(Disk disk, PrintWriter out) throws IOException {
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

    private static void print(OfflineTools.Inspection inspection, PrintWriter out) {
        out.printf("%-34s %12s %12s %10s%n", "file", "bytes", "live bytes", "records");
        for (OfflineTools.SegmentInspection file : inspection.files()) {
            out.printf("%-34s %12d %12d %10d%n", file.name(), file.bytes(), file.liveBytes(), file.records());
        }
        out.println(inspection.stats().keys() + " keys, " + inspection.stats().usedBytes() + " bytes, "
                + inspection.stats().liveBytes() + " of them live");
        if (inspection.stats().allKeysSuspected() || inspection.stats().suspectedKeys() > 0) {
            out.println(
                    inspection.stats().allKeysSuspected()
                            ? "all keys are in doubt: damage may hide newer writes of any key"
                            : inspection.stats().suspectedKeys()
                                    + " keys are in doubt: damage may hide newer writes of them");
        }
    }

    private static JSONObject json(OfflineTools.Inspection inspection) {
        JSONArray files = new JSONArray();
        inspection
                .files()
                .forEach(file -> files.put(new JSONObject()
                        .put("name", file.name())
                        .put("bytes", file.bytes())
                        .put("live_bytes", file.liveBytes())
                        .put("records", file.records())));
        return new JSONObject()
                .put("files", files)
                .put("keys", inspection.stats().keys())
                .put("used_bytes", inspection.stats().usedBytes())
                .put("live_bytes", inspection.stats().liveBytes())
                .put("doubtful_keys", inspection.stats().suspectedKeys())
                .put("all_in_doubt", inspection.stats().allKeysSuspected())
                .put("mode", inspection.stats().mode() == WriteState.Mode.OPEN ? "open" : "full")
                .put("damages", inspection.damageCount())
                .put("cut_bytes", inspection.cutBytes())
                .put("findings", new JSONArray(inspection.findings()));
    }
}
