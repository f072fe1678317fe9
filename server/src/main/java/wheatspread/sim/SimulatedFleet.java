package wheatspread.sim;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import wheatspread.admission.sfq.SfqAdmissionController;
import wheatspread.config.JsonFields;
import wheatspread.config.SettingsReader;

/** The simulated instances by id. Passes each instance its events of a batch and writes the actions that it decides. */
final class SimulatedFleet {
    private final JsonTreeParser parser;
    private final Map<Integer, SimulatedInstance> instances = new HashMap<>();

    SimulatedFleet(JsonTreeParser parser) {
        this.parser = parser;
    }

    void process(JsonFields batch, JsonGenerator reply) throws IOException {
        long nowMicros = batch.millisAsMicros(WireNames.BATCH_TIME);
        reply.writeStartObject();
        reply.writeArrayFieldStart(WireNames.PARTS);
        for (Object part : batch.list(WireNames.PARTS)) {
            processPart(JsonFields.of(part, WireNames.PARTS), nowMicros, reply);
        }
        reply.writeEndArray();
        reply.writeEndObject();
    }

    private void processPart(JsonFields part, long nowMicros, JsonGenerator reply) throws IOException {
        int id = (int) part.integer(WireNames.INSTANCE_ID);
        boolean batchBegun = false;
        for (Object item : part.list(WireNames.EVENTS)) {
            JsonFields event = JsonFields.of(item, WireNames.EVENTS);
            String kind = event.text(WireNames.KIND);
            SimulatedInstance instance = instances.get(id);
            if (kind.equals(WireNames.INSTANCE_STARTED)) {
                instance = start(event);
                instances.put(id, instance);
                instance.controller().beginBatch(nowMicros);
                batchBegun = true;
            } else if (instance == null) {
                throw new BenchLink.InvalidInputException(kind + " for unknown instance " + id);
            } else if (kind.equals(WireNames.INSTANCE_ENDED)) {
                instances.remove(id);
                batchBegun = false;
            } else {
                if (!batchBegun) {
                    instance.controller().beginBatch(nowMicros);
                    batchBegun = true;
                }
                EventDecoder.deliver(instance, kind, event);
            }
        }
        if (batchBegun) {
            ActionEncoder actions = new ActionEncoder(reply, id);
            instances.get(id).controller().decide(actions);
            actions.close();
        }
    }

    private SimulatedInstance start(JsonFields event) throws IOException {
        Object value = event.get(WireNames.SETTINGS);
        JsonFields settings =
                value instanceof String text ? parser.parseObject(text) : JsonFields.of(value, WireNames.SETTINGS);
        return new SimulatedInstance(
                new SfqAdmissionController(SettingsReader.read(settings), event.integer(WireNames.SEED)),
                SettingsReader.gauges(settings));
    }
}
