package wheatspread.lab.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;

/** What is generated, and the one fault that is put into it. */
class SettingsFilesTest {
    private static final SettingsFiles.Addresses AT = new SettingsFiles.Addresses(
            "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6");

    @Test
    void namesEveryTenantAndRouteOnce() {
        JSONArray tenants = tenants(SettingsFiles.configuration(AT, 200));
        assertThat(tenants.toList()).hasSize(200).doesNotHaveDuplicates();
        double quotas = 0;
        for (int i = 0; i < tenants.length(); i++) {
            quotas += tenants.getJSONObject(i).getDouble("QuotaPerS");
        }
        assertThat(quotas).isBetween(399.9, 400.1);
        JSONArray routes =
                SettingsFiles.operatorFile(AT, 20).getJSONObject("uwsgi").getJSONArray("routes");
        assertThat(routes.toList()).hasSize(20).doesNotHaveDuplicates();
    }

    @Test
    void generatesTheSameFilesEveryTime() {
        assertThat(SettingsFiles.configuration(AT, 200).toString())
                .isEqualTo(SettingsFiles.configuration(AT, 200).toString());
    }

    @Test
    void putsTheWrongQuotaAtTheLastTenantOnly() {
        JSONObject right = SettingsFiles.configuration(AT, 3);
        JSONArray wrong = tenants(SettingsFiles.withWrongQuota(right));
        assertThat(wrong.getJSONObject(2).getDouble("QuotaPerS")).isNegative();
        assertThat(wrong.getJSONObject(1).getDouble("QuotaPerS")).isPositive();
        assertThat(tenants(right).getJSONObject(2).getDouble("QuotaPerS")).isPositive();
    }

    private static JSONArray tenants(JSONObject configuration) {
        return configuration.getJSONObject("settings").getJSONArray("Parties");
    }
}
