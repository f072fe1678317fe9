package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class NameTableTest {
    /** Among so many names some 10 pairs have one hash, so the names themselves must be compared. */
    @Test
    @Timeout(value = 30, unit = TimeUnit.SECONDS)
    void everyOfManyNamesWithOneLongPrefixIsFoundAndNoOther() {
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
    void namesAreThoseThatWereGiven() {
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
