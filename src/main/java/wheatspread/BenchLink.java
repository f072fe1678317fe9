package wheatspread;

import wheatspread.Admission.Advice;
import wheatspread.Admission.Dependency;
import wheatspread.Admission.Effect;
import wheatspread.Admission.Gauges;
import wheatspread.Admission.Halt;
import wheatspread.Admission.Outcome;
import wheatspread.Admission.Request;
import wheatspread.Admission.RequestClass;
import wheatspread.Admission.Settings;
import wheatspread.Admission.Tenant;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The wire: one line of events in, one line of actions out, one {@link Choice} for each instance. */
final class BenchLink {
    private static final Map<String, Outcome> OUTCOMES = Map.of("Ok", Outcome.OK, "Failed", Outcome.FAILED,
        "QueueFull", Outcome.QUEUE_FULL, "TimedOut", Outcome.TIMED_OUT, "ConnectError", Outcome.CONNECT_ERROR,
        "ResetByPeer", Outcome.RESET, "Canceled", Outcome.CANCELED, "Ignored", Outcome.IGNORED);
    private static final Map<String, Effect> EFFECTS = Map.of("idempotent", Effect.IDEMPOTENT,
        "deduplicated", Effect.KEYED, "at_most_once", Effect.AT_MOST_ONCE);
    private static final Map<String, Dependency> DEPENDENCIES = Map.of("silent", Dependency.NONE,
        "shared", Dependency.SHARED, "tier", Dependency.TIER);
    private static final Map<String, Halt> HALTS = Map.of("silent", Halt.NONE, "abort", Halt.ABORT,
        "suspend", Halt.SUSPEND);
    private static final Map<String, Advice> ADVICE = Map.of("silent", Advice.NONE, "threshold",
        Advice.THRESHOLD,
        "window", Advice.WINDOW, "share_of", Advice.SHARE);

    private final JsonFactory json = new JsonFactory();
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private long line;
    private long now;

    /** What was read cannot be understood. */
    static final class BadInput extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadInput(String message) {
            super(message);
        }
    }

    /** One worker and the order of its gauges. */
    private record Instance(Admission choice, List<String> gauges) { }

    BenchLink(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = new BufferedOutputStream(out, 1 << 16);
    }

    void serve() throws IOException {
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            line++;
            try (JsonGenerator reply = json.createGenerator(out)) {
                reply.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
                reply.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
                answer(text, reply);
            } catch (JsonProcessingException e) {
                throw new BadInput("line " + line + ": not JSON: " + e.getOriginalMessage());
            } catch (BadInput | IllegalArgumentException e) {
                throw new BadInput("line " + line + ": " + e.getMessage());
            }
            out.write('\n');
            out.flush();
        }
    }

    private void answer(String text, JsonGenerator reply) throws IOException {
        Fields batch = parse(text);
        now = batch.time("SimTime");
        reply.writeStartObject();
        reply.writeArrayFieldStart("parts");
        for (Object part : batch.list("parts")) {
            part(fields(part, "parts"), reply);
        }
        reply.writeEndArray();
        reply.writeEndObject();
    }

    private void part(Fields part, JsonGenerator reply) throws IOException {
        int worker = (int) part.integer("WorkerId");
        Instance instance = instances.get(worker);
        boolean begun = false;
        for (Object item : part.list("items")) {
            Fields event = fields(item, "items");
            String name = event.text("m");
            if (name.equals("NewInstance")) {
                instance = create(event);
                instances.put(worker, instance);
                instance.choice.begin(now);
                begun = true;
            } else if (instance == null) {
                throw new BadInput(name + " for unknown instance " + worker);
            } else if (name.equals("Exit")) {
                instances.remove(worker);
                instance = null;
                begun = false;
            } else {
                if (!begun) {
                    instance.choice.begin(now);
                    begun = true;
                }
                event(instance, name, event);
            }
        }
        if (begun) {
            Reply actions = new Reply(reply, worker);
            instance.choice.decide(actions);
            actions.close();
        }
    }

    private void event(Instance instance, String name, Fields event) {
        Admission choice = instance.choice;
        switch (name) {
            case "Accept" -> choice.arrived(request(event));
            case "Completed" -> choice.completed(event.id("Tid"), event.word("Rc", OUTCOMES),
                event.time("WaitTime"));
            case "Blocked" -> choice.blocked(event.id("Tid"));
            case "Called" -> choice.called(event.id("Tid"), event.word("Rc", OUTCOMES),
                event.time("WaitTime"));
            case "CancelledByClient" -> choice.gone(event.id("Tid"));
            case "RetireSoon" -> choice.retiring(event.time("Left"));
            case "Bell" -> choice.timer(gauges(instance, event));
            default -> throw new BadInput("unknown event " + name);
        }
    }

    private static Request request(Fields e) {
        return new Request(e.id("Tid"), (int) e.number("Customer", 0), (int) e.integer("Band"),
            e.time("Age", 0), e.time("Left", 0), (long) e.number("DupOf", 0), e.flag("AgainByClient"),
            e.map.get("NameKey") != null, e.flag("Mutates"), e.number("HeldKb"), e.time("WorkHint", 0));
    }

    private static Gauges gauges(Instance instance, Fields event) {
        Map<String, Double> values = new HashMap<>();
        List<Object> row = event.list("Telemetry");
        for (int i = 0; i < Math.min(row.size(), instance.gauges.size()); i++) {
            values.put(instance.gauges.get(i), row.get(i) instanceof Number n ? n.doubleValue() : Double.NaN);
        }
        return new Gauges(values.getOrDefault("core_use", Double.NaN), values.getOrDefault("on_cores",
            Double.NaN),
            values.getOrDefault("heap_share", Double.NaN), values.getOrDefault("links", Double.NaN));
    }

    private Instance create(Fields event) throws IOException {
        Object told = event.map.get("Info");
        Fields info = told instanceof String s ? parse(s) : fields(told, "Info");
        Fields family = fields(info.map.get("FamilyInfo"), "FamilyInfo");
        List<String> gauges = new ArrayList<>();
        family.list("Gauges").forEach(g -> gauges.add(String.valueOf(g)));
        return new Instance(new Choice(settings(info, family), event.integer("InitSeed")), gauges);
    }

    private static Settings settings(Fields info, Fields family) {
        Fields rules = fields(info.map.get("Rules"), "Rules");
        Fields ceilings = fields(info.map.getOrDefault("Ceilings", Map.of()), "Ceilings");
        Fields prices = fields(info.map.getOrDefault("Tariffs", Map.of()), "Tariffs");
        List<RequestClass> classes = new ArrayList<>();
        for (Object lane : info.list("Lanes")) {
            classes.add(requestClass(fields(lane, "Lanes"), family, classes.size()));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object party : info.list("Parties")) {
            tenants.add(new Tenant(fields(party, "Parties").number("QuotaPerS", 0)));
        }
        Admission.Limits limits = new Admission.Limits(family.number("MemoryKb"), family.number("RunFactor",
            1),
            family.number("KbPerKey", 0), rules.number("TipMultiple"), rules.number("ColdFrom", 1),
            rules.time("Cold", 0), rules.time("AnswerSlack", 0), rules.time("DrainGrace", 0));
        Admission.Below below = new Admission.Below(family.word("DependsOn", DEPENDENCIES, Dependency.NONE),
            family.number("CallsOut", 0), family.time("DepWindow", 0), family.time("Linger", 0));
        Admission.Callers callers = new Admission.Callers((int) family.number("Callers", 0),
            family.word("Say", ADVICE, Advice.NONE), family.time("Heeded", 0),
            ceilings.flag("RetryAfter") ? ceilings.time("MaxRetryAfter", 0) : 0,
            family.flag("RegistryFollows"), family.time("Idle", 0), prices.number("Handshake", 0),
            prices.number("Connection", 0));
        return new Settings((int) family.integer("NCores"),
            (int) info.number("ReplicasOfMe", 0), family.flag("Cold"),
            family.word("Halt", HALTS, Halt.NONE), family.time("Fresh", 0), info.time("Resolution", 0),
                limits,
            below, callers, classes, tenants);
    }

    private static RequestClass requestClass(Fields lane, Fields family, int index) {
        long deadline = lane.time("Deadline");
        return new RequestClass(lane.time("Aim", deadline), lane.number("AimStretch", 0), deadline,
            lane.word("Effect", EFFECTS), lane.number("Worth", 1), lane.number("LateWorth", 0),
            lane.time("Window", 0), nth(family, "ClassCalls", index) == Boolean.TRUE,
            nth(family, "ClassSkipWorth", index) instanceof Number n ? n.doubleValue() : 0);
    }

    private static Object nth(Fields fields, String name, int index) {
        List<Object> list = fields.list(name);
        return index < list.size() ? list.get(index) : null;
    }

    private Fields parse(String text) throws IOException {
        try (JsonParser parser = json.createParser(text)) {
            parser.nextToken();
            Object value = value(parser);
            if (parser.nextToken() != null) {
                throw new BadInput("more than one value");
            }
            return fields(value, "message");
        }
    }

    private static Object value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new HashMap<>();
            for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                parser.nextToken();
                map.put(name, value(parser));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                list.add(value(parser));
            }
            return list;
        }
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return parser.getNumberValue().longValue();
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return parser.getDoubleValue();
        }
        if (token == JsonToken.VALUE_STRING) {
            return parser.getText();
        }
        return token == JsonToken.VALUE_TRUE ? Boolean.TRUE
            : token == JsonToken.VALUE_FALSE ? Boolean.FALSE : null;
    }

    @SuppressWarnings("unchecked")
    private static Fields fields(Object value, String name) {
        if (value instanceof Map<?, ?> map) {
            return new Fields((Map<String, Object>) map);
        }
        throw new BadInput(name + " is not an object");
    }

    /** Typed access to one object of the wire. */
    private record Fields(Map<String, Object> map) {
        double number(String name) {
            if (map.get(name) instanceof Number n) {
                return n.doubleValue();
            }
            throw new BadInput(name + " is missing or not a number");
        }

        double number(String name, double absent) {
            return map.get(name) == null ? absent : number(name);
        }

        long integer(String name) {
            double value = number(name);
            if (map.get(name) instanceof Long n) {
                return n;
            }
            throw new BadInput(name + " is not an integer: " + value);
        }

        long id(String name) {
            return integer(name);
        }

        long time(String name) {
            return Math.round(number(name) * 1000);
        }

        long time(String name, long absent) {
            return map.get(name) == null ? absent : time(name);
        }

        boolean flag(String name) {
            return map.get(name) == Boolean.TRUE;
        }

        String text(String name) {
            if (map.get(name) instanceof String s) {
                return s;
            }
            throw new BadInput(name + " is missing or not text");
        }

        <T> T word(String name, Map<String, T> words) {
            T known = words.get(text(name));
            if (known == null) {
                throw new BadInput(name + " is an unknown word: " + text(name));
            }
            return known;
        }

        <T> T word(String name, Map<String, T> words, T absent) {
            return map.get(name) == null ? absent : word(name, words);
        }

        @SuppressWarnings("unchecked")
        List<Object> list(String name) {
            Object value = map.get(name);
            if (value == null) {
                return List.of();
            }
            if (value instanceof List<?> list) {
                return (List<Object>) list;
            }
            throw new BadInput(name + " is not a list");
        }
    }

    /** Writes the actions of one instance; opens its part of the reply with the first of them. */
    private static final class Reply implements Admission.Actions {
        private final JsonGenerator json;
        private final int worker;
        private boolean open;

        Reply(JsonGenerator json, int worker) {
            this.json = json;
            this.worker = worker;
        }

        void close() throws IOException {
            if (open) {
                json.writeEndArray();
                json.writeEndObject();
            }
        }

        /** Writes the fields of one action. */
        private interface Body {
            void write() throws IOException;
        }

        private void action(String name, Body body) {
            try {
                if (!open) {
                    json.writeStartObject();
                    json.writeNumberField("WorkerId", worker);
                    json.writeArrayFieldStart("cmds");
                    open = true;
                }
                json.writeStartObject();
                json.writeStringField("m", name);
                body.write();
                json.writeEndObject();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        private void plain(String name, long id) {
            action(name, () -> json.writeNumberField("Tid", id));
        }

        private void timed(String name, long id, String field, long time) {
            action(name, () -> {
                json.writeNumberField("Tid", id);
                json.writeNumberField(field, time / 1000.0);
            });
        }

        @Override
        public void run(long id) {
            plain("Execute", id);
        }

        @Override
        public void refuse(long id, long stayAway, boolean dontRetry) {
            action("NotNow", () -> {
                json.writeNumberField("Tid", id);
                if (stayAway > 0) {
                    json.writeNumberField("StayAway", stayAway / 1000.0);
                }
                if (dontRetry) {
                    json.writeBooleanField("DontRetry", true);
                }
            });
        }

        @Override
        public void fail(long id) {
            plain("DropRequest", id);
        }

        @Override
        public void stop(long id) {
            plain("AbortWork", id);
        }

        @Override
        public void call(long id, long giveUpAfter) {
            timed("CallDep", id, "GiveUpAfter", giveUpAfter);
        }

        @Override
        public void skipCall(long id) {
            plain("Bypass", id);
        }

        @Override
        public void pin(long id, long ttl) {
            timed("Pin", id, "Ttl", ttl);
        }

        @Override
        public void unpin(long id) {
            plain("Unpin", id);
        }

        @Override
        public void join(long id) {
            plain("Join", id);
        }

        @Override
        public void health(boolean good, boolean stored) {
            action("ReportHealth", () -> {
                json.writeBooleanField("Want", good);
                json.writeBooleanField("Stored", stored);
            });
        }

        @Override
        public void advise(double value) {
            action("Signal", () -> json.writeNumberField("Value", value));
        }

        @Override
        public void closeIdle(long after) {
            action("Idle", () -> json.writeNumberField("Ttl", after / 1000.0));
        }

        @Override
        public void wake(long after) {
            action("Sleep", () -> {
                json.writeNumberField("FromNow", after / 1000.0);
                json.writeStringField("Cookie", "tick");
            });
        }

        @Override
        public void log(String text) {
            action("Log", () -> json.writeStringField("NoteText", text));
        }
    }
}
