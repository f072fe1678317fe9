/**
 * The client of the announce service, through which callers learn which servers accept work. It owns the
 * connection and the schedule of reports. It does not know why the server accepts work or not.
 */
package wheatspread.announce;
