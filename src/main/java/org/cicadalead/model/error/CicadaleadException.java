package org.cicadalead.model.error;

/** The one unchecked exception of the system; it carries a kind of the closed list. Immutable. */
public final class CicadaleadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /** Creates an exception of a kind with a detail that tells the user what to do. */
    public CicadaleadException(ErrorKind kind, String detail) {
        super(detail);
        this.kind = kind;
    }

    /** Creates an exception of a kind with its cause. */
    public CicadaleadException(ErrorKind kind, String detail, Throwable cause) {
        super(detail, cause);
        this.kind = kind;
    }

    /** Returns the kind. */
    public ErrorKind kind() {
        return kind;
    }
}
