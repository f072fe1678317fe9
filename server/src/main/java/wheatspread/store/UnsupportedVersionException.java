package wheatspread.store;

/** A segment has a format version that this program does not read. */
public final class UnsupportedVersionException extends StoreException {
    private static final long serialVersionUID = 1L;

    private final int version;
    private final int supportedVersion;

    UnsupportedVersionException(SegmentName file, int version, int supportedVersion) {
        super(
                file.toString(),
                "file " + file + " is of version " + version + "; this program reads version " + supportedVersion,
                null);
        this.version = version;
        this.supportedVersion = supportedVersion;
    }

    /** The version that the file has. */
    public int version() {
        return version;
    }

    /** The version that this program reads. */
    public int supportedVersion() {
        return supportedVersion;
    }
}
