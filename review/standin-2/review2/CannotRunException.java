package review2;

/** The case could not be played. */
final class CannotRunException extends Exception {
  private static final long serialVersionUID = 1L;

  CannotRunException(final String message) {
    super(message);
  }
}
