/**
 * @file httpd_close.c
 * Names of the reasons for which connections are closed.
 */
#include "transport/httpd_close.h"

const char *
httpd_close_name (enum httpd_close reason)
{
  static const char *const names[HTTPD_CLOSE_MAX] = {
    [HTTPD_CLOSE_CLIENT] = "client",
    [HTTPD_CLOSE_RESPONDED] = "responded",
    [HTTPD_CLOSE_REFUSED] = "refused",
    [HTTPD_CLOSE_IDLE] = "idle",
    [HTTPD_CLOSE_DRAIN] = "drain",
    [HTTPD_CLOSE_CUT] = "cut",
    [HTTPD_CLOSE_STALLED] = "stalled",
    [HTTPD_CLOSE_NO_MEMORY] = "no_memory",
    [HTTPD_CLOSE_TURNED_AWAY] = "turned_away",
    [HTTPD_CLOSE_EXPIRED] = "expired",
    [HTTPD_CLOSE_OTHER] = "other",
  };

  return names[reason];
}
