/**
 * Measurements of one server against the size of its settings: tenants, routes, held requests and connections.
 * {@link wheatspread.lab.settings.SettingsFiles} generates the files, {@link wheatspread.lab.settings.MeasuredServer}
 * is the process, {@link wheatspread.lab.settings.TimedKernel} and {@link wheatspread.lab.settings.Callers} are the
 * parties round it, and the classes named {@code ...Measurement} put them together.
 */
package wheatspread.lab.settings;
