package wheatspread.lab.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parses and evaluates formulas of the plan. */
class ExpressionTest {
    private static double value(String text) {
        Map<String, Double> values = Map.of("tenants", 100.0, "change_2", 4.0);
        return Expression.parse(text).evaluate(values::get);
    }

    @Test
    void productsBindTighterThanSumsAndOperatorsAssociateLeft() {
        assertThat(value("1 + 2 * 3")).isEqualTo(7);
        assertThat(value("(1 + 2) * 3")).isEqualTo(9);
        assertThat(value("10 - 3 - 2")).isEqualTo(5);
        assertThat(value("100 / 10 / 2")).isEqualTo(5);
        assertThat(value("tenants * change_2 / 86400")).isEqualTo(400 / 86_400.0);
    }

    @Test
    void listsNamesInOrderOfOccurrence() {
        assertThat(Expression.parse("(b + a) * b / 2").names()).containsExactly("b", "a");
    }

    @Test
    void rejectsMalformedFormulaNamingTheCharacter() {
        assertThatThrownBy(() -> Expression.parse("1 +")).hasMessageContaining("character 4");
        assertThatThrownBy(() -> Expression.parse("(1 + a")).hasMessageContaining("parenthesis");
        assertThatThrownBy(() -> Expression.parse("a b")).hasMessageContaining("character 3");
        assertThatThrownBy(() -> Expression.parse("")).hasMessageContaining("missing");
    }
}
