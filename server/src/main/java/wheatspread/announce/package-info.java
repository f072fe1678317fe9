/**
 * The client of the announce service, through which clients discover the servers that accept requests. The package
 * owns the connection and the schedule of reports. It must not depend on the reasons why the server accepts requests
 * or not.
 */
package wheatspread.announce;
