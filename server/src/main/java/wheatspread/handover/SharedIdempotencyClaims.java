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
 * Stores claims as files in a folder that the processes of one server share ({@code $TMPDIR} on the platform). Each
 * key has a small file, opened with {@code CREATE_NEW}, which succeeds for one process only. The name of the file is
 * a hash of the key. Its content is one line with the id of the process and the arrival time of the attempt that ran,
 * in Unix microseconds. Processes of other releases read these files, so their names and content must not change. The
 * process that created a file deletes it once the idempotency window has ended.
 *
 * <p>The files are tiny and the folder is in memory, so the event loop's thread writes them; a claim takes about
 * 20 us. If the folder cannot be written, every claim is granted, as for a server that is a single process, and the
 * first failure is logged. Not thread-safe.
 */
public final class SharedIdempotencyClaims implements IdempotencyClaims {
    private static final int FILE_NAME_HASH_BYTES = 16;

    private final Path folder;
    private final String processId;
    private final EventLog log;
    private final MessageDigest digest;
    /** Claims of this process whose files are still to be deleted, oldest first. */
    private final ArrayDeque<OwnClaim> ownClaims = new ArrayDeque<>();

    private boolean failureLogged;

    private record OwnClaim(Path file, long windowEndMicros) {}

    /** The content of a claim file. */
    private record StoredClaim(String processId, String arrival) {
        long arrivalMicros() {
            return Long.parseLong(arrival);
        }
    }

    /**
     * Creates claims of a process in {@code folder}, which is created if it does not exist. {@code processId} has no
     * space in it, and no other process that uses the folder may have it, before or after this one.
     */
    public SharedIdempotencyClaims(Path folder, String processId, EventLog log) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.processId = processId;
        this.log = log;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IOException("the JVM has no SHA-256 digest, which names the files of claims", e);
        }
    }

    @Override
    public boolean claim(String key, long arrivalMicros, long windowMicros) {
        deleteExpired(arrivalMicros);
        Path file = folder.resolve(fileNameOf(key));
        try {
            if (!write(file, arrivalMicros, windowMicros)) {
                return false;
            }
            ownClaims.addLast(new OwnClaim(file, arrivalMicros + windowMicros));
        } catch (IOException | RuntimeException e) {
            logFailure(e);
        }
        return true;
    }

    /** Writes a claim; returns false if another process holds the key for an arrival within the window. */
    private boolean write(Path file, long arrivalMicros, long windowMicros) throws IOException {
        byte[] content = (processId + ' ' + arrivalMicros + '\n').getBytes(StandardCharsets.US_ASCII);
        try {
            Files.write(file, content, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        } catch (FileAlreadyExistsException e) {
            StoredClaim stored = read(file);
            boolean heldByOther = stored != null
                    && !stored.processId().equals(processId)
                    && arrivalMicros <= stored.arrivalMicros() + windowMicros;
            if (heldByOther) {
                return false;
            }
            Files.write(file, content); // the stored claim has expired or is this process's own
        }
        return true;
    }

    private void logFailure(Exception failure) {
        if (!failureLogged) {
            failureLogged = true;
            log.warn("idempotency_claims_failed", "folder", folder, "error", failure.toString());
        }
    }

    /** Reads a claim. Returns null if the file was deleted or does not contain a complete claim. */
    private static StoredClaim read(Path file) throws IOException {
        try {
            String line = Files.readString(file, StandardCharsets.US_ASCII).strip();
            String[] words = line.split(" ");
            boolean complete = words.length == 2 && words[1].matches("\\d{1,19}");
            return complete ? new StoredClaim(words[0], words[1]) : null;
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /**
     * Deletes the claims of this process whose window ended before {@code nowMicros}. A file that another process
     * has claimed in the meantime belongs to that process and is kept.
     */
    private void deleteExpired(long nowMicros) {
        while (!ownClaims.isEmpty() && ownClaims.peekFirst().windowEndMicros() < nowMicros) {
            Path file = ownClaims.removeFirst().file();
            try {
                StoredClaim stored = read(file);
                if (stored != null && stored.processId().equals(processId)) {
                    Files.deleteIfExists(file);
                }
            } catch (IOException e) {
                return; // the file remains, but its window has ended, so it prevents no claim
            }
        }
    }

    /** Returns a hash of the key, since clients choose keys and a client's text must not become a path. */
    private String fileNameOf(String key) {
        byte[] hash = digest.digest(key.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash, 0, FILE_NAME_HASH_BYTES);
    }

    /** Returns the number of claims of this process that are not deleted yet. */
    public int size() {
        return ownClaims.size();
    }
}
