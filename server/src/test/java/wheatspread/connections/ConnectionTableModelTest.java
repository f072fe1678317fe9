package wheatspread.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import wheatspread.connections.Connection.State;

/** Checks the lists of a connection table against a model that searches all connections. */
class ConnectionTableModelTest extends ConnectionTableFixture {
    @Property(tries = 150, seed = "11")
    void agreesWithAModelThatSearches(@ForAll long seed) {
        Random random = new Random(seed);
        table = table(12, 0, 7 * SECOND_MICROS);
        Map<String, Connection> model = new HashMap<>();
        for (int step = 0; step < 400; step++) {
            nowMicros += random.nextInt(300_000);
            events.clear();
            Connection connection =
                    model.isEmpty() ? null : new ArrayList<>(model.values()).get(random.nextInt(model.size()));
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    String victim = model.size() < 12 ? null : findVictim(model);
                    Connection opened = admit("c" + step, random.nextInt(4));
                    assertThat(opened == null).isEqualTo(model.size() == 12 && victim == null);
                    if (opened != null) {
                        model.put("c" + step, opened);
                    }
                    assertThat(events).isEqualTo(victim == null ? List.of() : List.of(victim + " closed"));
                }
                case 2 -> read(connection, true, connection == null ? 0 : connection.openRequests() + 1, 0);
                case 3 ->
                    read(
                            connection,
                            random.nextBoolean(),
                            connection == null ? 0 : connection.openRequests(),
                            1 + random.nextInt(30));
                case 4, 5 -> {
                    if (connection != null && connection.openRequests() > 0) {
                        table.answered(connection, nowMicros, connection.openRequests() - 1);
                    }
                }
                case 6 -> {
                    if (connection != null) {
                        table.closed(connection);
                    }
                }
                default -> {
                    assertThat(model.values()).noneMatch(tracked -> tracked.state() == State.CLOSED);
                    long nextExpiryMicros = table.nextExpiryMicros();
                    assertThat(table.expire(nowMicros, 100) > 0).isEqualTo(nextExpiryMicros <= nowMicros);
                    assertThat(table.nextExpiryMicros()).isGreaterThan(nowMicros);
                }
            }
            model.values().removeIf(tracked -> tracked.state() == State.CLOSED);
            assertThat(table.size()).isEqualTo(model.size());
            assertThat(table.partialBytes())
                    .isEqualTo(model.values().stream()
                            .mapToLong(tracked -> tracked.partialBytes())
                            .sum());
        }
    }

    private void read(Connection connection, boolean wholeMessages, int openRequests, int bytes) {
        if (connection != null && connection.state() != State.DRAINING && connection.state() != State.LINGERING) {
            table.read(connection, nowMicros, wholeMessages, openRequests, bytes);
        }
    }

    /** Finds the victim among new, then partial connections within the grace; null if all have open requests. */
    private static String findVictimWithinGrace(
            Map<String, Connection> model, Comparator<Map.Entry<String, Connection>> byTimeInState) {
        for (State state : List.of(State.NEW, State.PARTIAL_MESSAGE)) {
            var found = model.entrySet().stream()
                    .filter(e -> e.getValue().state() == state && e.getValue().openRequests() == 0)
                    .min(byTimeInState);
            if (found.isPresent()) {
                return found.get().getKey();
            }
        }
        return null;
    }

    /** Finds the connection that should be evicted by searching the model; null if none may be. */
    private String findVictim(Map<String, Connection> model) {
        long graceStartMicros = nowMicros - SECOND_MICROS / 5;
        Comparator<Map.Entry<String, Connection>> byTimeInState =
                Comparator.comparingLong(e -> e.getValue().sinceMicros());
        var lingering = model.entrySet().stream()
                .filter(e -> e.getValue().state() == State.LINGERING)
                .toList();
        if (!lingering.isEmpty()) {
            // several may have the same time, so the head of the table's list decides between them
            var head = lingering.stream()
                    .filter(e -> e.getValue().previous() == null)
                    .findFirst()
                    .orElseThrow();
            assertThat(head.getValue().sinceMicros())
                    .isEqualTo(lingering.stream()
                            .min(byTimeInState)
                            .orElseThrow()
                            .getValue()
                            .sinceMicros());
            return head.getKey();
        }
        var silent = model.entrySet().stream()
                .filter(e -> e.getValue().state() == State.NEW)
                .min(byTimeInState);
        if (silent.isPresent() && silent.get().getValue().sinceMicros() < graceStartMicros) {
            return silent.get().getKey();
        }
        var partial = model.entrySet().stream()
                .filter(e -> e.getValue().state() == State.PARTIAL_MESSAGE)
                .min(byTimeInState);
        if (partial.isPresent()
                && partial.get().getValue().sinceMicros() < graceStartMicros
                && partial.get().getValue().openRequests() == 0) {
            return partial.get().getKey();
        }
        Map<Long, Integer> idleCounts = new HashMap<>();
        model.values().stream()
                .filter(candidate -> candidate.state() == State.IDLE)
                .forEach(candidate -> idleCounts.merge(candidate.source().address(), 1, Integer::sum));
        int maxIdleCount = idleCounts.values().stream().mapToInt(i -> i).max().orElse(0);
        Connection chosen = table.nextIdleToEvict();
        if (chosen == null) {
            assertThat(maxIdleCount).isZero();
            return findVictimWithinGrace(model, byTimeInState);
        }
        assertThat(idleCounts.get(chosen.source().address())).isEqualTo(maxIdleCount);
        return model.entrySet().stream()
                .filter(e -> e.getValue().state() == State.IDLE && e.getValue().source() == chosen.source())
                .min(byTimeInState)
                .orElseThrow()
                .getKey();
    }
}
