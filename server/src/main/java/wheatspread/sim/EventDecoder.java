package wheatspread.sim;

import java.util.List;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.LoadGauges;
import wheatspread.config.JsonFields;
import wheatspread.core.DeploymentSettings;

/** Decodes events of the simulator's wire and passes them to the controller of their instance. */
final class EventDecoder {
    private EventDecoder() {}

    static void deliver(SimulatedInstance instance, String kind, JsonFields event) {
        AdmissionController controller = instance.controller();
        switch (kind) {
            case WireNames.ARRIVAL -> controller.onArrival(decodeRequest(event));
            case WireNames.COMPLETION ->
                controller.onCompletion(
                        event.id(WireNames.REQUEST_ID),
                        event.oneOf(WireNames.OUTCOME, WireNames.OUTCOMES),
                        event.millisAsMicros(WireNames.ELAPSED));
            case WireNames.BLOCKED -> controller.onBlocked(event.id(WireNames.REQUEST_ID));
            case WireNames.CALL_COMPLETED ->
                controller.onCallCompleted(
                        event.id(WireNames.REQUEST_ID),
                        event.oneOf(WireNames.OUTCOME, WireNames.OUTCOMES),
                        event.millisAsMicros(WireNames.ELAPSED));
            case WireNames.CANCELLATION -> controller.onCancellation(event.id(WireNames.REQUEST_ID));
            case WireNames.DRAIN -> controller.onDrain(event.millisAsMicros(WireNames.TIME_LEFT));
            case WireNames.TIMER -> controller.onTimer(decodeGauges(instance.gaugeNames(), event));
            default -> throw new BenchLink.InvalidInputException("unknown event kind " + kind);
        }
    }

    private static AdmissionRequest decodeRequest(JsonFields event) {
        return new AdmissionRequest(
                event.id(WireNames.REQUEST_ID),
                (int) event.number(WireNames.TENANT, 0),
                (int) event.integer(WireNames.REQUEST_CLASS),
                event.millisAsMicros(WireNames.AGE, 0),
                event.millisAsMicros(WireNames.TIME_LEFT, 0),
                (long) event.number(WireNames.DUPLICATE_OF, 0),
                event.flag(WireNames.RETRY),
                event.has(WireNames.CACHE_KEY),
                event.flag(WireNames.WRITE),
                event.number(WireNames.HELD_KB),
                event.millisAsMicros(WireNames.EXPECTED_WORK, 0));
    }

    private static LoadGauges decodeGauges(List<String> gaugeNames, JsonFields event) {
        List<Object> readings = event.list(WireNames.GAUGES);
        return DeploymentSettings.gaugesFrom(
                gaugeNames,
                index -> index < readings.size() && readings.get(index) instanceof Number number
                        ? number.doubleValue()
                        : Double.NaN);
    }
}
