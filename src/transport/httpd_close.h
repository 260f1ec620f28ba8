/**
 * @file httpd_close.h
 * Why the HTTP server closed connections.
 */
#ifndef TRANSPORT_HTTPD_CLOSE_H
#define TRANSPORT_HTTPD_CLOSE_H

enum httpd_close
{
  HTTPD_CLOSE_CLIENT,    /**< its client closed it, or it failed */
  HTTPD_CLOSE_RESPONDED, /**< after a response that announced it */
  HTTPD_CLOSE_REFUSED,   /**< after a refusal of a request that was not read */
  HTTPD_CLOSE_IDLE,      /**< no request within the idle time */
  HTTPD_CLOSE_DRAIN,     /**< idle, and the instance is about to end */
  HTTPD_CLOSE_CUT,       /**< its response had begun and cannot be completed */
  HTTPD_CLOSE_STALLED,   /**< its client did not read */
  HTTPD_CLOSE_NO_MEMORY, /**< when it was accepted */
  HTTPD_CLOSE_TURNED_AWAY, /**< turned away; its client had left */
  HTTPD_CLOSE_EXPIRED, /**< turned away; its client had not left in its time */
  HTTPD_CLOSE_OTHER,   /**< none of these */
  HTTPD_CLOSE_MAX
};

/** Name of a reason, as in the log and in metrics. */
const char *httpd_close_name (enum httpd_close reason);

#endif
