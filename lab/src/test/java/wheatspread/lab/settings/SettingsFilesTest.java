package wheatspread.lab.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;

/** Checks the generated files and the invalid quota. */
class SettingsFilesTest {
    private static final SettingsFiles.Addresses ADDRESSES = new SettingsFiles.Addresses(
            "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6");

    @Test
    void generatesDistinctTenantsAndRoutes() {
        JSONArray tenants = tenants(SettingsFiles.configuration(ADDRESSES, 200));
        assertThat(tenants.toList()).hasSize(200).doesNotHaveDuplicates();
        double quotas = 0;
        for (int i = 0; i < tenants.length(); i++) {
            quotas += tenants.getJSONObject(i).getDouble("QuotaPerS");
        }
        assertThat(quotas).isBetween(399.9, 400.1);
        JSONArray routes =
                SettingsFiles.operatorFile(ADDRESSES, 20).getJSONObject("uwsgi").getJSONArray("routes");
        assertThat(routes.toList()).hasSize(20).doesNotHaveDuplicates();
    }

    @Test
    void generatesSameConfigurationEveryTime() {
        assertThat(SettingsFiles.configuration(ADDRESSES, 200).toString())
                .isEqualTo(SettingsFiles.configuration(ADDRESSES, 200).toString());
    }

    @Test
    void invalidatesQuotaOfLastTenantOnly() {
        JSONObject valid = SettingsFiles.configuration(ADDRESSES, 3);
        JSONArray tenants = tenants(SettingsFiles.withInvalidQuota(valid));
        assertThat(tenants.getJSONObject(2).getDouble("QuotaPerS")).isNegative();
        assertThat(tenants.getJSONObject(1).getDouble("QuotaPerS")).isPositive();
        assertThat(tenants(valid).getJSONObject(2).getDouble("QuotaPerS")).isPositive();
    }

    private static JSONArray tenants(JSONObject configuration) {
        return configuration.getJSONObject("settings").getJSONArray("Parties");
    }
}
