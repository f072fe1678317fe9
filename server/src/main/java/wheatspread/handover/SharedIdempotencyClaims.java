package wheatspread.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.HexFormat;
import wheatspread.core.IdempotencyClaims;
import wheatspread.logging.EventLog;

/**
 * Claims as files in a folder that the processes of one server share ({@code $TMPDIR} on the platform): one
 * small file a key, made with create-new, which the file system does for one process alone. A file holds the
 * process's id and the door of the try that ran; it is deleted by its maker once its window is over.
 *
 * <p>The files are tiny and the folder is memory, so the loop's thread writes them itself; a claim takes some
 * 20 us. Where the folder cannot be written, claims are given, and that is logged once: the process serves as
 * it would alone.
 */
public final class SharedIdempotencyClaims implements IdempotencyClaims {
    /** Claims of this process that are still to be deleted, oldest first. */
    private final ArrayDeque<Made> made = new ArrayDeque<>();

    private final Path folder;
    private final String self;
    private final EventLog log;
    private final MessageDigest digest;
    private boolean failed;

    private record Made(Path file, long until) {}

    /** {@code self} names this process in its claims. */
    public SharedIdempotencyClaims(Path folder, long self, EventLog log) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.self = Long.toString(self);
        this.log = log;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IOException(e);
        }
    }

    @Override
    public boolean claim(String key, long door, long window) {
        forget(door);
        Path file = folder.resolve(nameOf(key));
        byte[] mine = (self + ' ' + door + '\n').getBytes(StandardCharsets.US_ASCII);
        try {
            try {
                Files.write(file, mine, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            } catch (FileAlreadyExistsException e) {
                String[] theirs = read(file);
                if (theirs != null && !theirs[0].equals(self) && door <= Long.parseLong(theirs[1]) + window) {
                    return false;
                }
                Files.write(file, mine); // an old claim, or one of this process: the new door stands
            }
            made.addLast(new Made(file, door + window));
            return true;
        } catch (IOException | RuntimeException e) {
            if (!failed) {
                failed = true;
                log.warn("claims_failed", "folder", folder, "error", e.toString());
            }
            return true;
        }
    }

    /** Who claimed and for which door; null where the file went, or holds no whole claim. */
    private static String[] read(Path file) throws IOException {
        try {
            String[] words =
                    Files.readString(file, StandardCharsets.US_ASCII).strip().split(" ");
            return words.length == 2 && words[1].matches("\\d{1,19}") ? words : null;
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /**
     * Deletes the claims of this process whose window is over by {@code now}; a file that the other process
     * has claimed since is its own, and stays.
     */
    private void forget(long now) {
        while (!made.isEmpty() && made.peekFirst().until() < now) {
            Path file = made.removeFirst().file();
            try {
                String[] holder = read(file);
                if (holder != null && holder[0].equals(self)) {
                    Files.deleteIfExists(file);
                }
            } catch (IOException e) {
                return; // it stays, and its maker's window is over
            }
        }
    }

    /** A name for a key that a peer chose: its hash, so that no text of a peer becomes a path. */
    private String nameOf(String key) {
        byte[] hash = digest.digest(key.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash, 0, 16);
    }

    /** How many claims of this process wait to be deleted. */
    public int size() {
        return made.size();
    }
}
