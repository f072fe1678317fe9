/**
 * An indexed priority queue. Owns nothing but the data structure; must not know what its elements stand for, nor any
 * other package of the server.
 */
package wheatspread.heap;
