package wheatspread.sim;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import wheatspread.admission.AdmissionController;

/** Encodes the actions of one instance. The first action opens the instance's part of the reply. */
final class ActionEncoder implements AdmissionController.Actions {
    private static final double MICROS_PER_MILLI = 1000.0;
    /** The label that the simulator's protocol requires for a timer; there is only one kind of timer. */
    private static final String TICK_LABEL = "tick";

    private final JsonGenerator json;
    private final int instanceId;
    private boolean open;

    ActionEncoder(JsonGenerator json, int instanceId) {
        this.json = json;
        this.instanceId = instanceId;
    }

    /** Writes the fields of one action. */
    private interface FieldWriter {
        void write() throws IOException;
    }

    /** Closes the instance's part of the reply if it has any action. */
    void close() throws IOException {
        if (open) {
            json.writeEndArray();
            json.writeEndObject();
        }
    }

    private void open() throws IOException {
        json.writeStartObject();
        json.writeNumberField(WireNames.INSTANCE_ID, instanceId);
        json.writeArrayFieldStart(WireNames.ACTIONS);
        open = true;
    }

    private void write(String kind, FieldWriter fields) {
        try {
            if (!open) {
                open();
            }
            json.writeStartObject();
            json.writeStringField(WireNames.KIND, kind);
            fields.write();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeTime(String field, long micros) throws IOException {
        json.writeNumberField(field, micros / MICROS_PER_MILLI);
    }

    private void writeRequestAction(String kind, long id) {
        write(kind, () -> json.writeNumberField(WireNames.REQUEST_ID, id));
    }

    private void writeTimedAction(String kind, long id, String field, long micros) {
        write(kind, () -> {
            json.writeNumberField(WireNames.REQUEST_ID, id);
            writeTime(field, micros);
        });
    }

    @Override
    public void run(long id) {
        writeRequestAction(WireNames.RUN, id);
    }

    @Override
    public void reject(long id, long retryAfterMicros, boolean doNotRetry) {
        write(WireNames.REJECT, () -> {
            json.writeNumberField(WireNames.REQUEST_ID, id);
            if (retryAfterMicros > 0) {
                writeTime(WireNames.RETRY_AFTER, retryAfterMicros);
            }
            if (doNotRetry) {
                json.writeBooleanField(WireNames.DO_NOT_RETRY, true);
            }
        });
    }

    @Override
    public void fail(long id) {
        writeRequestAction(WireNames.FAIL, id);
    }

    @Override
    public void preempt(long id) {
        writeRequestAction(WireNames.PREEMPT, id);
    }

    @Override
    public void callDependency(long id, long timeoutMicros) {
        writeTimedAction(WireNames.CALL_DEPENDENCY, id, WireNames.CALL_TIMEOUT, timeoutMicros);
    }

    @Override
    public void skipDependency(long id) {
        writeRequestAction(WireNames.SKIP_DEPENDENCY, id);
    }

    @Override
    public void retainKey(long id, long ttlMicros) {
        writeTimedAction(WireNames.RETAIN_KEY, id, WireNames.TIME_TO_LIVE, ttlMicros);
    }

    @Override
    public void releaseKey(long id) {
        writeRequestAction(WireNames.RELEASE_KEY, id);
    }

    @Override
    public void joinResult(long id) {
        writeRequestAction(WireNames.JOIN_RESULT, id);
    }

    @Override
    public void setHealth(boolean healthy, boolean stored) {
        write(WireNames.SET_HEALTH, () -> {
            json.writeBooleanField(WireNames.HEALTHY, healthy);
            json.writeBooleanField(WireNames.STORED, stored);
        });
    }

    @Override
    public void setLoadFeedback(double value) {
        write(WireNames.SET_LOAD_FEEDBACK, () -> json.writeNumberField(WireNames.FEEDBACK_VALUE, value));
    }

    @Override
    public void setIdleTimeout(long timeoutMicros) {
        write(WireNames.SET_IDLE_TIMEOUT, () -> writeTime(WireNames.TIME_TO_LIVE, timeoutMicros));
    }

    @Override
    public void scheduleWakeup(long delayMicros) {
        write(WireNames.SCHEDULE_WAKEUP, () -> {
            writeTime(WireNames.WAKEUP_DELAY, delayMicros);
            json.writeStringField(WireNames.WAKEUP_LABEL, TICK_LABEL);
        });
    }

    @Override
    public void log(String text) {
        write(WireNames.LOG, () -> json.writeStringField(WireNames.LOG_TEXT, text));
    }
}
