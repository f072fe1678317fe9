/**
 * The client of the announce service, which tells clients which servers accept requests. The package owns the
 * connection and the schedule of reports. It must not depend on the reasons why the server accepts requests or not.
 */
package wheatspread.announce;
