package wheatspread.kernel;

import java.util.Base64;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.core.Kernel;
import wheatspread.logging.EventLog;

/**
 * Parses the kernel's notices. Notifies a listener of each notice with a sequence number exactly once, regardless of
 * the connection that delivers it. Removes the commands that a notice confirms from {@link UnconfirmedCommands}.
 */
final class NoticeReader {
    /** The reference of the gauge request that is sent on a new connection; its answer follows all missed notices. */
    static final String CATCH_UP_REFERENCE = "sync";

    private static final int MICROS_PER_MILLI = 1_000;
    private static final long NO_REPLAY = -1;

    /** Receives the progress of the connection that delivers the notices. */
    interface Progress {
        /** The kernel is up on this connection. Called before the listener is notified. */
        void booted();

        /** All missed notices have been read. */
        void caughtUp();

        /** The kernel has read all commands that were sent on the connection. */
        void allConfirmed();
    }

    private final Progress progress;
    private final Kernel.Listener listener;
    private final UnconfirmedCommands unconfirmed;
    private final EventLog log;
    private long lastSequenceNumber;
    /** The last notice before the unreadable line for which a replay was requested; NO_REPLAY if there is none. */
    private long replayRequestedAfter = NO_REPLAY;

    NoticeReader(Progress progress, Kernel.Listener listener, UnconfirmedCommands unconfirmed, EventLog log) {
        this.progress = progress;
        this.listener = listener;
        this.unconfirmed = unconfirmed;
        this.log = log;
    }

    /** Returns the sequence number of the last notice that was read. */
    long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    /**
     * Reads a line. Returns false if the line is unreadable and a new connection should replay it, since the line may
     * contain a notice. A replay is requested only once, because the kernel may send the same unreadable line again.
     */
    boolean read(String line) {
        try {
            read(new JSONObject(line));
            return true;
        } catch (JSONException | IllegalArgumentException e) {
            log.warn("kernel_message_malformed", "error", e.getMessage());
            boolean replay = replayRequestedAfter != lastSequenceNumber;
            replayRequestedAfter = lastSequenceNumber;
            return !replay;
        }
    }

    private void read(JSONObject notice) {
        String type = notice.getString(KernelWireNames.TYPE);
        switch (type) {
            case KernelWireNames.READY -> readReady(notice);
            case KernelWireNames.GAUGES -> readGauges(notice);
            case KernelWireNames.COMMAND_REJECTED -> readCommandRejected(notice);
            default -> {
                long sequenceNumber = notice.optLong(KernelWireNames.SEQUENCE_NUMBER, 0);
                if (sequenceNumber > lastSequenceNumber) {
                    readNumbered(type, sequenceNumber, notice);
                }
            }
        }
    }

    private void readReady(JSONObject notice) {
        boolean cold = notice.getString(KernelWireNames.STATE).equals(KernelWireNames.COLD_START);
        long ageMicros = durationMicros(notice);
        progress.booted();
        listener.onBooted(cold, ageMicros);
    }

    private void readGauges(JSONObject notice) {
        String reference = notice.optString(KernelWireNames.REFERENCE);
        if (reference.equals(CATCH_UP_REFERENCE)) {
            progress.caughtUp();
        } else if (!reference.isEmpty() && unconfirmed.confirmUpTo(Long.parseLong(reference))) {
            progress.allConfirmed();
        }
        JSONArray values = notice.optJSONArray(KernelWireNames.GAUGE_VALUES, new JSONArray());
        double[] gauges = new double[values.length()];
        for (int i = 0; i < gauges.length; i++) {
            gauges[i] = values.optDouble(i, Double.NaN);
        }
        listener.onGauges(gauges);
    }

    private void readCommandRejected(JSONObject notice) {
        String command = notice.optString(KernelWireNames.STATE);
        String job = notice.optString(KernelWireNames.JOB);
        log.warn("kernel_command_rejected", "command", command, "job", job);
        unconfirmed.confirmRejected(job, command);
        if (command.equals(KernelWireNames.START) || command.equals(KernelWireNames.RESUME)) {
            listener.onRunNotStarted(job);
        }
    }

    /** Reads a notice, and marks it as read only after parsing it, because a notice marked as read is not replayed. */
    private void readNumbered(String type, long sequenceNumber, JSONObject notice) {
        String job = notice.optString(KernelWireNames.JOB);
        if (type.equals(KernelWireNames.COMPLETION)) {
            Kernel.End end = KernelWireNames.runEnd(notice.getString(KernelWireNames.STATE));
            byte[] result = end == Kernel.End.OK ? body(notice) : null;
            lastSequenceNumber = sequenceNumber;
            unconfirmed.confirmEnded(job);
            listener.onRunEnded(job, end, durationMicros(notice), result);
        } else if (type.equals(KernelWireNames.CALL_REQUEST)) {
            byte[] call = body(notice);
            lastSequenceNumber = sequenceNumber;
            unconfirmed.confirmWaitingForCall(job);
            listener.onDependencyCallRequested(job, sequenceNumber, call);
        } else {
            lastSequenceNumber = sequenceNumber;
        }
    }

    private static byte[] body(JSONObject notice) {
        return Base64.getDecoder().decode(notice.optString(KernelWireNames.BODY));
    }

    private static long durationMicros(JSONObject notice) {
        return Math.round(notice.optDouble(KernelWireNames.DURATION_MS, 0) * MICROS_PER_MILLI);
    }
}
