/**
 * @file log_messages.c
 * Severity and text of every log message.
 */
#include "transport/log.h"

const struct log_message_info log_messages[LOG_MESSAGE_MAX] = {
  /* process */
  [LOG_STARTED] = { LOG_LEVEL_INFO, "started" },
  [LOG_STOPPED] = { LOG_LEVEL_INFO, "stopped" },
  [LOG_LISTENING] = { LOG_LEVEL_INFO, "listening" },
  [LOG_LISTEN_FAILED] = { LOG_LEVEL_ERROR, "cannot listen" },
  [LOG_SETTINGS_REFUSED] = { LOG_LEVEL_ERROR, "settings refused" },
  [LOG_DRAIN_STARTED] = { LOG_LEVEL_INFO, "drain started" },
  [LOG_DRAIN_FINISHED] = { LOG_LEVEL_INFO, "drain finished" },
  [LOG_DRAIN_TIMEOUT]
  = { LOG_LEVEL_WARN, "drain timeout passed, requests still in flight" },
  /* requests */
  [LOG_REQUEST_ACCEPTED] = { LOG_LEVEL_DEBUG, "request accepted" },
  [LOG_REQUEST_REFUSED] = { LOG_LEVEL_INFO, "request refused" },
  [LOG_REQUEST_DONE] = { LOG_LEVEL_INFO, "request done" },
  [LOG_REQUEST_ABORTED] = { LOG_LEVEL_WARN, "response aborted" },
  [LOG_CLIENT_GONE] = { LOG_LEVEL_INFO, "client closed its connection" },
  [LOG_ATTEMPT_STARTED] = { LOG_LEVEL_DEBUG, "attempt started" },
  [LOG_ATTEMPT_FAILED] = { LOG_LEVEL_WARN, "attempt failed" },
  [LOG_UPSTREAM_DRAINING] = { LOG_LEVEL_INFO, "upstream is draining" },
  [LOG_UPSTREAM_MISMATCH]
  = { LOG_LEVEL_ERROR, "upstream answered another request" },
  [LOG_UPSTREAM_REJECTED]
  = { LOG_LEVEL_WARN, "upstream's announcement rejected" },
  /* peers */
  [LOG_PEER_UP] = { LOG_LEVEL_INFO, "peer connected" },
  [LOG_PEER_DOWN] = { LOG_LEVEL_INFO, "peer disconnected" },
  [LOG_PEER_REJECTED] = { LOG_LEVEL_WARN, "peer rejected" },
  [LOG_MEMBER_STATUS] = { LOG_LEVEL_INFO, "member status changed" },
  [LOG_LESSOR_CHANGED] = { LOG_LEVEL_INFO, "lessors changed" },
  /* configuration */
  [LOG_CONFIG_APPLIED] = { LOG_LEVEL_INFO, "configuration object applied" },
  [LOG_CONFIG_REJECTED] = { LOG_LEVEL_ERROR, "configuration object rejected" },
  [LOG_CONFIG_STALE] = { LOG_LEVEL_DEBUG, "older configuration ignored" },
  [LOG_CONFIG_READY] = { LOG_LEVEL_INFO, "whole configuration held" },
  [LOG_STORE_UNAVAILABLE] = { LOG_LEVEL_WARN, "store unavailable" },
  [LOG_STORE_RECOVERED] = { LOG_LEVEL_INFO, "store recovered" },
  [LOG_STORE_REVERTED]
  = { LOG_LEVEL_ERROR, "store holds an older state than this instance" },
  [LOG_ADMIN_CHANGE] = { LOG_LEVEL_INFO, "configuration changed" },
  [LOG_ADMIN_REFUSED] = { LOG_LEVEL_WARN, "admin request refused" },
};
