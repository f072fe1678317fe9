package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests lookups by name and by index, and the limit on names that share a hash code. */
class NameTableTest {
    /** Guards against lookups by the hash code alone: "Aa" and "BB" have the same hash code. */
    @Test
    void findsNamesWithTheSameHashCodeUpToTheLimit() {
        NameTable.Builder builder = new NameTable.Builder();
        for (int i = 0; i < NameTable.MAX_NAMES_PER_HASH; i++) {
            builder.add(nameWithSharedHash(i));
        }
        assertThatThrownBy(() -> builder.add(nameWithSharedHash(NameTable.MAX_NAMES_PER_HASH)))
                .hasMessageStartingWith("256 names have the hash code of ");
        NameTable names = builder.build();
        for (int i = 0; i < names.size(); i++) {
            assertThat(names.indexOf(nameWithSharedHash(i))).isEqualTo(i);
        }
        assertThat(names.indexOf(nameWithSharedHash(names.size()))).isEqualTo(-1);
    }

    private static String nameWithSharedHash(int number) {
        StringBuilder name = new StringBuilder();
        for (int bit = 0; bit < 10; bit++) {
            name.append((number >> bit & 1) == 0 ? "Aa" : "BB");
        }
        return name.toString();
    }

    @Test
    @Timeout(value = 30, unit = TimeUnit.SECONDS)
    void findsOnlyAddedNamesAmongManyWithACommonPrefix() {
        String prefix = "the/same/long/beginning/".repeat(8);
        NameTable.Builder builder = new NameTable.Builder();
        for (int i = 0; i < 300_000; i++) {
            builder.add(prefix + i);
        }
        NameTable names = builder.build();
        for (int i = 0; i < names.size(); i++) {
            assertThat(names.indexOf(prefix + i)).isEqualTo(i);
            assertThat(names.indexOf(prefix + (names.size() + i))).isEqualTo(-1);
        }
    }

    @Test
    void keepsTheNamesAndTheirOrder() {
        List<String> given = List.of("north", "n", "", "Žemaitija", "žemaitija", "小麦", "north ", "🌾");
        NameTable names = NameTable.copyOf(given);
        assertThat(names).isEqualTo(given).hasSameHashCodeAs(given).isEqualTo(NameTable.copyOf(List.copyOf(given)));
        given.forEach(name -> assertThat(names.indexOf(name)).isEqualTo(given.indexOf(name)));
        assertThat(names.indexOf("nort")).isEqualTo(-1);
        assertThat(names.contains("🌾🌾")).isFalse();
        assertThat(NameTable.copyOf(List.of())).isEmpty();
        assertThat(NameTable.copyOf(List.of("a", "bc"))).isNotEqualTo(NameTable.copyOf(List.of("ab", "c")));
        assertThatThrownBy(() -> NameTable.copyOf(List.of("a", "b", "a"))).hasMessageContaining("twice: a");
        assertThatThrownBy(() -> names.get(given.size())).isInstanceOf(IndexOutOfBoundsException.class);
    }
}
