/**
 * @file err.h
 * Negative error numbers, common to all layers.
 */
#ifndef STATE_ERR_H
#define STATE_ERR_H

/** Error numbers; functions return 0 or one of these. */
enum err
{
  ERR_OK = 0,
  ERR_NO_MEMORY = -1,
  ERR_INVALID = -2, /**< malformed or out of range */
  ERR_NOT_FOUND = -3,
  ERR_EXISTS = -4,
  ERR_FULL = -5, /**< bounded table or buffer is full, or a budget exhausted */
  ERR_CONFLICT = -6, /**< compare-and-swap failed: index has changed */
  ERR_TIMEOUT = -7,
  ERR_REFUSED = -8, /**< peer refused the connection */
  ERR_RESET = -9,   /**< peer reset or closed the connection in mid-message */
  ERR_TRUNCATED = -10, /**< response ended before its stated length */
  ERR_MISMATCH = -11,  /**< response belongs to another request */
  ERR_TOO_LARGE = -12,
  ERR_AUTH = -13,        /**< credentials missing, unknown or insufficient */
  ERR_UNAVAILABLE = -14, /**< service known to be down or draining */
  ERR_RATE_LIMITED = -15,
  ERR_PROTOCOL = -16, /**< peer violated the protocol */
  ERR_IO = -17,
  ERR_CANCELED = -18,
  ERR_STALE = -19,           /**< older than the stored version */
  ERR_UNKNOWN_OUTCOME = -20, /**< the operation may have taken effect */
  ERR_MIN = -21              /**< one past the last error number */
};

/**
 * Name of an error number for logs, such as "timeout".
 * @param error 0 or a negative error number.
 * @return static text; "unknown" for a number out of range.
 */
const char *err_name (int error);

#endif
