/**
 * Measurements of one server by the size of its settings: tenants, routes, held requests and connections.
 * {@link wheatspread.lab.settings.SettingsFiles} generates the files, {@link wheatspread.lab.settings.MeasuredServer}
 * runs the process, {@link wheatspread.lab.settings.TimedKernel} stands in for its kernel,
 * {@link wheatspread.lab.settings.LoadClients} sends the load, and the classes named {@code ...Measurement} combine
 * them.
 */
package wheatspread.lab.settings;
