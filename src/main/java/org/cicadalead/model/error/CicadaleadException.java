package org.cicadalead.model.error;

/** Reports every error that reaches a caller or an operator, with its {@link ErrorKind}. Immutable. */
public final class CicadaleadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /** Creates an exception with a detail that tells the user what went wrong or what to do. */
    public CicadaleadException(ErrorKind kind, String detail) {
        super(detail);
        this.kind = kind;
    }

    /** Creates an exception with a detail and the exception that caused it. */
    public CicadaleadException(ErrorKind kind, String detail, Throwable cause) {
        super(detail, cause);
        this.kind = kind;
    }

    /** Returns the kind of the error. */
    public ErrorKind kind() {
        return kind;
    }
}
