package wheatspread.store;

import java.io.IOException;

/** A folder that this program cannot or must not work on. The message is a sentence for the operator. */
public abstract class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String file;

    StoreException(String file, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
    }

    /** The name of the file that the store was refused for, relative to its folder. */
    public final String file() {
        return file;
    }
}
