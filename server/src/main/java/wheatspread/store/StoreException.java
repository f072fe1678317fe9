package wheatspread.store;

import java.io.IOException;

/** A folder that this program cannot or must not work on; the message tells the operator why. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    StoreException(String message) {
        super(message);
    }
}
