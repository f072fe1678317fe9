/**
 * An indexed priority queue. The package must not depend on the meaning of its elements or on any other package of the
 * server.
 */
package wheatspread.heap;
