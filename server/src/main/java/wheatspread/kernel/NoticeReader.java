package wheatspread.kernel;

import java.util.Base64;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.core.Kernel;
import wheatspread.logging.EventLog;

/**
 * Reads the kernel's notices, and tells a listener of each numbered one once, whichever link brings it. What
 * they confirm is taken out of {@link UnconfirmedCommands}.
 */
final class NoticeReader {
    /** The reference of the question whose answer stands behind all missed notices. */
    static final String SYNC = "sync";

    /** What notices tell of the link that brings them. */
    interface Progress {
        /** The kernel is up on this link; the listener is told next. */
        void booted();

        /** All missed notices have been read. */
        void caughtUp();

        /** All commands that were sent on the link have been read. */
        void allConfirmed();
    }

    private final Progress progress;
    private final Kernel.Listener listener;
    private final UnconfirmedCommands unconfirmed;
    private final EventLog log;
    private long last;
    /** The last notice before a line that was not understood and asked for again; -1 if there is none. */
    private long askedAgain = -1;

    NoticeReader(Progress progress, Kernel.Listener listener, UnconfirmedCommands unconfirmed, EventLog log) {
        this.progress = progress;
        this.listener = listener;
        this.unconfirmed = unconfirmed;
        this.log = log;
    }

    /** The number of the last notice that was read. */
    long last() {
        return last;
    }

    /**
     * Reads a line. False if it was not understood and is to be asked for again, on a new link: it may have
     * hidden a notice. Once only, since the kernel may have nothing better.
     */
    boolean read(String line) {
        try {
            read(new JSONObject(line));
            return true;
        } catch (JSONException | IllegalArgumentException e) {
            log.warn("kernel_line_bad", "error", e.getMessage());
            boolean again = askedAgain != last;
            askedAgain = last;
            return !again;
        }
    }

    private void read(JSONObject notice) {
        String type = notice.getString("type");
        switch (type) {
            case "BOOTED" -> booted(notice);
            case "INFO" -> info(notice);
            case "EINVAL" -> invalid(notice);
            default -> {
                long number = notice.optLong("n", 0);
                if (number > last) {
                    numbered(type, number, notice);
                }
            }
        }
    }

    private void booted(JSONObject notice) {
        boolean cold = notice.getString("state").equals("COLD");
        long age = micros(notice);
        progress.booted();
        listener.booted(cold, age);
    }

    private void info(JSONObject notice) {
        String ref = notice.optString("ref");
        if (ref.equals(SYNC)) {
            progress.caughtUp();
        } else if (!ref.isEmpty() && unconfirmed.confirmUpTo(Long.parseLong(ref))) {
            progress.allConfirmed();
        }
        JSONArray row = notice.optJSONArray("gauges", new JSONArray());
        double[] gauges = new double[row.length()];
        for (int i = 0; i < gauges.length; i++) {
            gauges[i] = row.optDouble(i, Double.NaN);
        }
        listener.gauges(gauges);
    }

    private void invalid(JSONObject notice) {
        String command = notice.optString("state");
        String job = notice.optString("job");
        log.warn("kernel_refused", "command", command, "job", job);
        unconfirmed.refused(job, command);
        if (command.equals("SCHED") || command.equals("RESCHED")) {
            listener.notStarted(job);
        }
    }

    /** A notice counts as read only once all of it is understood, or a new link would leave it out. */
    private void numbered(String type, long number, JSONObject notice) {
        String job = notice.optString("job");
        if (type.equals("REAP")) {
            Kernel.End end = Kernel.End.valueOf(notice.getString("state"));
            byte[] result = end == Kernel.End.OK ? body(notice) : null;
            last = number;
            unconfirmed.ended(job);
            listener.ended(job, end, micros(notice), result);
        } else if (type.equals("IOREQ")) {
            byte[] call = body(notice);
            last = number;
            unconfirmed.blocked(job);
            listener.blocked(job, number, call);
        } else {
            last = number;
        }
    }

    private static byte[] body(JSONObject notice) {
        return Base64.getDecoder().decode(notice.optString("data"));
    }

    private static long micros(JSONObject notice) {
        return Math.round(notice.optDouble("took", 0) * 1000);
    }
}
