/**
 * @file log_messages.c
 * Severity and text of every log message.
 */
#include "state/err.h"
#include "transport/log.h"

const struct log_message_info log_messages[LOG_MESSAGE_MAX] = {
  /* process */
  [LOG_STARTED] = { LOG_LEVEL_INFO, "started", false },
  [LOG_STOPPED] = { LOG_LEVEL_INFO, "stopped", false },
  [LOG_LISTENING] = { LOG_LEVEL_INFO, "listening", false },
  [LOG_LISTEN_FAILED] = { LOG_LEVEL_ERROR, "cannot listen", false },
  [LOG_SETTINGS_RELOADED] = { LOG_LEVEL_INFO, "settings read again", false },
  [LOG_SETTINGS_REFUSED] = { LOG_LEVEL_ERROR, "settings refused", false },
  [LOG_DRAIN_STARTED] = { LOG_LEVEL_INFO, "drain started", false },
  [LOG_DRAIN_FINISHED] = { LOG_LEVEL_INFO, "drain finished", false },
  [LOG_DRAIN_TIMEOUT]
  = { LOG_LEVEL_WARN, "drain timeout passed, requests still in flight",
      false },
  [LOG_CONNECTIONS_SHED]
  = { LOG_LEVEL_WARN, "new connections turned away", false },
  [LOG_CONNECTION_CUT]
  = { LOG_LEVEL_WARN, "connection closed that may have a request", false },
  [LOG_CONNECTIONS_CLOSED] = { LOG_LEVEL_INFO, "connections closed", false },
  [LOG_QUEUE_DISPATCHED] = { LOG_LEVEL_INFO, "wait queue dispatched", false },
  [LOG_LOOP_LATE] = { LOG_LEVEL_WARN, "event loop is late", false },
  [LOG_LOOP_TIME] = { LOG_LEVEL_INFO, "time of the event loop", false },
  [LOG_ROTATION_CHANGED]
  = { LOG_LEVEL_WARN, "load balancer's rotation changed", false },
  [LOG_CONTROL_LATE]
  = { LOG_LEVEL_ERROR, "control events of the loop do not run", false },
  /* requests */
  [LOG_REQUEST_ACCEPTED] = { LOG_LEVEL_DEBUG, "request accepted", false },
  [LOG_REQUEST_WAITED] = { LOG_LEVEL_INFO, "request left the line", false },
  [LOG_REQUEST_REFUSED] = { LOG_LEVEL_INFO, "request refused", false },
  [LOG_REQUEST_DONE] = { LOG_LEVEL_INFO, "request done", true },
  [LOG_REQUEST_ABORTED] = { LOG_LEVEL_WARN, "response aborted", false },
  [LOG_CLIENT_GONE] = { LOG_LEVEL_INFO, "client closed its connection", true },
  [LOG_ATTEMPT_STARTED] = { LOG_LEVEL_DEBUG, "attempt started", true },
  [LOG_ATTEMPT_FAILED] = { LOG_LEVEL_WARN, "attempt failed", false },
  [LOG_UPSTREAM_DRAINING] = { LOG_LEVEL_INFO, "upstream is draining", false },
  [LOG_UPSTREAM_PAUSED]
  = { LOG_LEVEL_INFO, "upstream wants no requests", false },
  [LOG_UPSTREAM_LIMITED]
  = { LOG_LEVEL_INFO, "limit of an upstream changed", false },
  [LOG_UPSTREAM_MISMATCH]
  = { LOG_LEVEL_ERROR, "upstream answered another request", false },
  [LOG_UPSTREAM_REJECTED]
  = { LOG_LEVEL_WARN, "upstream's announcement rejected", false },
  [LOG_STATUS_WITHHELD]
  = { LOG_LEVEL_WARN, "status of an upstream withheld", false },
  [LOG_PART_HELD]
  = { LOG_LEVEL_WARN, "upstreams crash under a part of prompts", false },
  [LOG_PART_RELEASED]
  = { LOG_LEVEL_INFO, "part of prompts is released", false },
  [LOG_PART_TRIAL]
  = { LOG_LEVEL_INFO, "held part of prompts is tried", false },
  [LOG_REQUEST_HELD]
  = { LOG_LEVEL_WARN, "upstreams crash under a request", false },
  [LOG_REQUEST_RELEASED] = { LOG_LEVEL_INFO, "request is released", false },
  [LOG_STREAM_UNKNOWN]
  = { LOG_LEVEL_INFO, "no upstream can continue a stream", false },
  [LOG_REQUEST_TRIAL] = { LOG_LEVEL_INFO, "held request is tried", false },
  /* peers */
  [LOG_PEER_UP] = { LOG_LEVEL_INFO, "peer connected", false },
  [LOG_PEER_DOWN] = { LOG_LEVEL_INFO, "peer disconnected", false },
  [LOG_PEER_REJECTED] = { LOG_LEVEL_WARN, "peer rejected", false },
  [LOG_MEMBER_STATUS] = { LOG_LEVEL_INFO, "member status changed", false },
  [LOG_LESSOR_CHANGED] = { LOG_LEVEL_INFO, "lessors changed", false },
  /* configuration */
  [LOG_CONFIG_APPLIED]
  = { LOG_LEVEL_INFO, "configuration object applied", false },
  [LOG_CONFIG_REJECTED]
  = { LOG_LEVEL_ERROR, "configuration object rejected", false },
  [LOG_CONFIG_ENTRY_REJECTED]
  = { LOG_LEVEL_ERROR, "entry of the configuration left out", false },
  [LOG_CONFIG_STALE]
  = { LOG_LEVEL_DEBUG, "older configuration ignored", false },
  [LOG_CONFIG_READY] = { LOG_LEVEL_INFO, "whole configuration held", false },
  [LOG_STORE_UNAVAILABLE] = { LOG_LEVEL_WARN, "store unavailable", false },
  [LOG_STORE_UNUSABLE]
  = { LOG_LEVEL_ERROR, "response of the store is unusable", false },
  [LOG_STORE_RECOVERED] = { LOG_LEVEL_INFO, "store recovered", false },
  [LOG_STORE_REVERTED]
  = { LOG_LEVEL_ERROR, "store holds an older state than this instance",
      false },
  [LOG_STORE_RESTORED]
  = { LOG_LEVEL_WARN, "store restored from a copy", false },
  [LOG_STORE_ITEM_REJECTED]
  = { LOG_LEVEL_WARN, "item of the store without a key or revision", false },
  [LOG_STORE_RESPONSE_UNREADABLE]
  = { LOG_LEVEL_ERROR, "response of the store cannot be read", false },
  [LOG_STORE_RESPONSE_OVERSIZED]
  = { LOG_LEVEL_WARN, "response of the store exceeds the memory for it",
      false },
  [LOG_ADMIN_CHANGE] = { LOG_LEVEL_INFO, "configuration changed", false },
  [LOG_ADMIN_REFUSED] = { LOG_LEVEL_WARN, "admin request refused", false },
  /* log */
  [LOG_LINES_DROPPED] = { LOG_LEVEL_WARN, "lines dropped", false },
};

enum log_message
log_store_message (int error)
{
  return error == ERR_PROTOCOL || error == ERR_TOO_LARGE
             ? LOG_STORE_UNUSABLE
             : LOG_STORE_UNAVAILABLE;
}
